"""HTTP/1.1 server and client, and the protocol between peers."""
