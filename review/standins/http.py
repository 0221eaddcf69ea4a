"""Minimal HTTP/1.1 messages over asyncio streams, for stand-ins only."""

from __future__ import annotations

import asyncio
import socket
import struct

Headers = dict[str, str]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Return the start line, the headers with lower-case names, and the body of one message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    length = int(headers.get("content-length", "0"))
    return start, headers, await reader.readexactly(length) if length else b""


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return one message with its content length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
