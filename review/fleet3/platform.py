"""Stand-ins of the platform: the metadata store, and the calls of singleton duties."""

import asyncio
import time

from review.fleet3.http import HttpServer

ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Objects by kind and name, with one revision counter and conditional changes."""

    def __init__(self, host):
        self.revision = 1
        self.objects = {}
        self.server = HttpServer(host, self._handle, {"Store-Era": "1"})

    def write(self, kind, name, spec):
        """Write on behalf of the operator, a member or another writer."""
        self.revision += 1
        objects = self.objects.setdefault(kind, {})
        created = objects[name]["meta"]["created"] if name in objects else None
        objects[name] = self._object(name, spec, created)

    def remove(self, kind, name):
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1

    def spec(self, kind, name):
        stored = self.objects.get(kind, {}).get(name)
        return None if stored is None else stored["spec"]

    def _object(self, name, spec, created=None):
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created or int(time.time() * 1000),
            "finalizers": [],
            "deleting": False,
        }
        return {"meta": meta, "spec": spec, "status": None}

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(ANSWER_S)
        if path[:2] != ["api", "objects"] or len(path) not in (3, 4):
            return 404, {}
        objects = self.objects.setdefault(path[2], {})
        if len(path) == 3 and method == "GET":
            return 200, self._list(objects, query)
        if len(path) == 3 and method == "POST":
            name = body["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            self.revision += 1
            objects[name] = self._object(name, body.get("spec"))
            return 201, objects[name]
        name = path[-1]
        stored = objects.get(name)
        if stored is None:
            return 404, {}
        if method == "GET":
            return 200, stored
        named = (body or {}).get("meta", {}).get("revision", query.get("revision"))
        if named is not None and int(named) != stored["meta"]["revision"]:
            return 409, stored
        if method == "DELETE":
            self.revision += 1
            del objects[name]
            return 200, stored
        if stored["spec"] != body.get("spec"):
            self.revision += 1
            objects[name] = self._object(
                name, body.get("spec"), stored["meta"]["created"]
            )
        return 200, objects[name]

    def _list(self, objects, query):
        after = query.get("after", "")
        names = sorted(name for name in objects if name > after)
        return {
            "items": [objects[name] for name in names[:PAGE_ITEMS]],
            "more": len(names) > PAGE_ITEMS,
            "store_revision": self.revision,
        }


class Cloud:
    """``POST /promote``; the promotion takes effect ``promote_s`` after the call."""

    def __init__(self, host, services, record):
        self._services = services
        self._record = record
        self.server = HttpServer(host, self._handle)

    async def _handle(self, method, path, query, headers, body):
        service = self._services.get(body["service"])
        if (method, path) != ("POST", ["promote"]) or service is None:
            return 404, {}
        status = service.promote(body["id"])
        self._record(
            f"promote {body['id']} of {body['service']} by {headers['duty-holder']}, "
            f"token {headers['fencing-token']}: {status}"
        )
        return status, {}
