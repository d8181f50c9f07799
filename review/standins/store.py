"""The platform's store, in memory: rows, their feed, and transactions."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http11


class Store:
    def __init__(self):
        self.rows = {}  # (table, key) -> (value in bytes, version)
        self.history = []  # (version, table, key, value or None)
        self.version = 0
        self.began = time.monotonic()
        self.changed = asyncio.Event()
        self.calls = []  # (seconds, what, status)

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def put(self, table, key, value):
        """Writes a row for the operator or for a server."""
        self.version += 1
        self._write(table, key, json.dumps(value).encode())
        self._wake()
        return self.version

    def remove(self, table, key):
        self.version += 1
        self._write(table, key, None)
        self._wake()

    def get(self, table, key):
        row = self.rows.get((table, key))
        return json.loads(row[0]) if row else None

    def _write(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.history.append((self.version, table, key, value))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, "gone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _get(self, query):
        table, source = query["table"], query.get("source", "")
        limit = int(query.get("limit", 500))
        keys = sorted(k for t, k in self.rows if t == table and k >= source)
        rows = [self._row(table, k, *self.rows[table, k]) for k in keys]
        return {
            "rows": rows[:limit], "more": len(rows) > limit,
            "ver": self.version, "now_ms": self.now_ms(),
        }

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [
                self._row(t, k, v, n) for n, t, k, v in self.history
                if t == table and n > after
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return {
                    "rows": rows, "ver": self.version,
                    "now_ms": self.now_ms(),
                }
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, call):
        for one in call.get("expected_count", []):
            row = self.rows.get((one["table"], one["key"]))
            if (row[1] if row else 0) != one["ver"]:
                return 412, {"rows": [], "ver": self.version}
        self.version += 1
        for one in call.get("put", []):
            value = base64.b64decode(one["value"])
            self._write(one["table"], one["key"], value)
        for one in call.get("remove", []):
            self._write(one["table"], one["key"], None)
        self._wake()
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    async def serve(self, reader, writer):
        try:
            while (read := await http11.read_head(reader)) is not None:
                (method, target, _), headers = read
                body, _ = await http11.read_body(reader, headers)
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(
                    parts.query, keep_blank_values=True).items()}
                status, value = 200, {}
                if parts.path == "/api/rows-get":
                    value = self._get(query)
                elif parts.path == "/api/rows-feed":
                    value = await self._feed(query)
                elif parts.path == "/api/rows-tx":
                    status, value = self._transact(json.loads(body))
                else:
                    status = 404
                await asyncio.sleep(0.004)
                text = json.dumps(value).encode()
                kind = [("Content-Type", "application/json")]
                writer.write(http11.answer(status, "-", text, kind))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the other side left, or the case is over
        finally:
            writer.close()
