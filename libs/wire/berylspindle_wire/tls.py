"""TLS contexts for the operators' interface, from certificate files named in the settings.

Terms:
  CA file   the trusted certificates that must have issued the other side's certificate

Flow: the daemon and the operators' tool each read their paths from flags or environment into
`TlsFiles`, create a context once, and pass it to `http_server.serve` or `HttpClient`. A server with
a CA file requires a valid certificate from each client. A client always verifies the server's
certificate and its host name or IP address; this can't be disabled.
"""

from __future__ import annotations

import ssl

import attrs


class TlsSettingsError(ValueError):
    """The configured TLS files can't be used."""


@attrs.frozen(kw_only=True)
class TlsFiles:
    """Paths of PEM files; `key` may be None if the certificate file also holds the key."""

    certificate: str | None = None
    key: str | None = None
    ca: str | None = None


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context for a server, which needs a certificate.

    Raise TlsSettingsError if a file is missing, invalid or doesn't match the others.
    """
    if files.certificate is None:
        raise TlsSettingsError("a TLS server needs a certificate")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, files)
    if files.ca is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context for a client, which needs a CA file; its certificate is optional.

    Raise TlsSettingsError if a file is missing, invalid or doesn't match the others.
    """
    if files.ca is None:
        raise TlsSettingsError("a TLS client needs the CA file of the server's certificate")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _load(context, files)
    return context


def _load(context: ssl.SSLContext, files: TlsFiles) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        if files.certificate is not None:
            # Without a password, OpenSSL would prompt for one on the terminal for an encrypted key.
            context.load_cert_chain(files.certificate, files.key, password="")
        if files.ca is not None:
            context.load_verify_locations(files.ca)
    except OSError as error:  # Includes ssl.SSLError.
        raise TlsSettingsError(f"cannot load TLS files: {error}") from error
