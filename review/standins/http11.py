"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""


async def read_head(reader):
    """Reads a request's or an answer's head.

    Returns the words of its first line and its headers (names in lower case),
    or None if the connection ended first.
    """
    line = await reader.readline()
    if not line.strip():
        return None
    first = line.decode("latin-1").strip().split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n"):
            return first, headers
        if not line:
            return None
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers, to_end=False):
    """Reads a body. Returns its bytes and whether it came to its end."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            line = await reader.readline()
            if not line.strip():
                return body, False
            size = int(line.strip().split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body, True
            chunk = await reader.read(size) if size else b""
            while len(chunk) < size:
                more = await reader.read(size - len(chunk))
                if not more:
                    return body + chunk, False
                chunk += more
            body += chunk
            await reader.readline()
    if "content-length" in headers:
        size, body = int(headers["content-length"]), b""
        while len(body) < size:
            more = await reader.read(size - len(body))
            if not more:
                return body, False
            body += more
        return body, True
    if not to_end:
        return b"", True
    return await reader.read(-1), True


def head(status, reason, headers):
    """Writes an answer's head."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status, reason, body=b"", headers=()):
    """Writes an answer with a length."""
    length = ("Content-Length", len(body))
    return head(status, reason, [*headers, length]) + body
