"""Tests copies and restores of the stand-in platform, over HTTP."""

import json
import pathlib
import shutil
import sys
import tempfile
import threading
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import ANY_PORT, BIN, Process, http  # noqa: E402

KIND = "/filberthollow/objects/config"


class StoreEraTest(unittest.TestCase):
    def setUp(self):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="filberthollow-"))
        self.addCleanup(shutil.rmtree, folder)
        platform = Process("platform", [
            BIN / "filberthollow-standin", "--role", "platform", "--address",
            ANY_PORT], folder)
        self.addCleanup(platform.kill)
        self.address = platform.addresses["http"]

    def call(self, path, body=None, method=None):
        """Returns status, era and parsed body of a call of the object API."""
        request = urllib.request.Request(
            f"http://{self.address}{path}", method=method,
            data=None if body is None else json.dumps(body).encode())
        try:
            answer = urllib.request.urlopen(request, timeout=5)
        except urllib.error.HTTPError as error:
            answer = error
        with answer:
            return (answer.status, answer.headers["Store-Era"],
                    json.loads(answer.read()))

    def create(self, name):
        status, _, body = self.call(KIND, {"meta": {"name": name}, "spec": {}})
        self.assertEqual(status, 201)
        return body["meta"]["revision"]

    def control(self, path):
        return http(self.address, path, "", "POST")[0]

    def names(self):
        return [item["meta"]["name"] for item in self.call(KIND)[2]["items"]]

    def test_each_answer_has_the_era(self):
        calls = [(KIND, None, 200), (f"{KIND}/a", None, 404),
                 (KIND, {"meta": {"name": "a"}, "spec": {}}, 201),
                 (KIND, {"meta": {"name": "a"}, "spec": {}}, 409),
                 (f"{KIND}/a", None, 200), (f"{KIND}?watch=0&waitMs=0", None,
                                            200),
                 (f"{KIND}?watch=1&waitMs=10", None, 200),
                 (f"{KIND}?watch=2&waitMs=10", None, 410)]
        for path, body, expected in calls:
            status, era, _ = self.call(path, body)
            self.assertEqual((path, status, era), (path, expected, "1"))

    def test_restore_returns_to_the_copy_and_raises_the_era(self):
        self.create("kept")
        self.assertEqual(self.control("/copy"), 200)
        lost = self.create("lost")
        for era in ("2", "3"):
            self.assertEqual(self.control("/restore"), 200)
            self.assertEqual(self.call(KIND)[1], era)
            self.assertEqual(self.names(), ["kept"])
            self.assertEqual(
                self.call(f"{KIND}?watch={lost}&waitMs=0")[0], 410)
            self.assertEqual(self.create("new"), lost)

    def test_restore_without_a_copy_is_refused(self):
        self.create("kept")
        self.assertEqual(self.control("/restore"), 409)
        self.assertEqual(self.call(KIND)[1], "1")
        self.assertEqual(self.names(), ["kept"])

    def test_restore_aborts_waiting_watches(self):
        revision = self.create("kept")
        self.control("/copy")
        failures = []

        def watch():
            try:
                self.call(f"{KIND}?watch={revision}&waitMs=4000")
            except OSError as error:
                failures.append(error)

        thread = threading.Thread(target=watch)
        thread.start()
        while json.loads(http(self.address, "/calls")[1])["watches"] == 0:
            thread.join(0.02)
        self.control("/restore")
        thread.join(3)
        self.assertFalse(thread.is_alive())
        self.assertEqual(len(failures), 1)


if __name__ == "__main__":
    unittest.main()
