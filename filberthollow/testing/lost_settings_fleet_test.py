"""Settings and keys that are changed before the platform's store comes back from
an older copy of itself."""

import json
import unittest

from fleet import Fleet, events_of, http, wait_until

TREE = {"settings": {"slots": 4}, "services": {"desk": {}}}
GROWN_TREE = {"settings": {"slots": 4}, "services": {"desk": {}, "rooms": {}}}
WRITTEN_BACK_SECONDS = 5
# A new key is used for signing 10 s after it was published.
KEY_ACTIVATION_SECONDS = 20
REQUESTS = 60
# Each of two targets gets none of the flows by chance in 1 of 2^40 calls.
FLOWS = 40


def control(f, path):
    status, text = http(f.platform.addresses["http"], path, "", "POST")
    if status != 200:
        raise RuntimeError(f"{path}: {status} {text}")


def stored_slots(f):
    shown = json.loads(f.operator("--json", "show", "/desk").stdout)
    return shown["slots"]["value"]


def stored_services(f):
    return set(json.loads(f.operator("--json", "show").stdout)["services"])


def key_status(process):
    return process.status().get("config", {})


def key_is_known(process, epoch):
    return key_status(process).get("key_epoch") == epoch


def in_force(f):
    return f.operator("status", check=False).returncode == 0


def restore_after(f, change):
    """Takes a copy, makes the change, and restores the copy once the change is
    in force."""
    control(f, "/copy")
    change()
    wait_until(lambda: in_force(f), 11, "the change is in force")
    control(f, "/restore")


def wait_for_new_generation(f):
    for balancer in f.balancers:
        wait_until(lambda b=balancer: events_of(b.log(), "platform_restored"),
                   WRITTEN_BACK_SECONDS, "the balancer saw the restore")


def written_back(f):
    return [line["object"] for balancer in f.balancers
            for line in events_of(balancer.log(), "config_written_back")]


class LostSettingsTest(unittest.TestCase):

    def assert_answered(self, f, service):
        result = f.call(service=service, requests=REQUESTS, flows=FLOWS)
        self.assertEqual(result["outcomes"]["answered"], REQUESTS)

    def assert_written_back_once(self, f, name):
        wait_until(lambda: written_back(f), WRITTEN_BACK_SECONDS,
                   "a balancer has logged the write")
        self.assertEqual(written_back(f), [name])

    def test_a_lost_edit_is_written_back(self):
        with Fleet(TREE) as f:
            f.start(balancers=3, desk=1)
            restore_after(f, lambda: f.operator("set", "/desk", "slots", "9"))
            wait_until(lambda: stored_slots(f) == "9", WRITTEN_BACK_SECONDS,
                       "the edit is in the store")
            wait_until(lambda: in_force(f), 11, "all have the same revision")
            self.assert_written_back_once(f, "config/tree/service/desk")
            f.operator("set", "/desk", "slots", "10")
            wait_until(lambda: in_force(f), 11, "a later edit is in force")

    def test_a_lost_service_is_served_and_written_back(self):
        with Fleet(TREE) as f:
            f.start(balancers=3, desk=1)
            path = f.folder / "grown.json"
            path.write_text(json.dumps(GROWN_TREE))

            def grow():
                f.operator("apply", str(path))
                f.add_target("rooms", "riga-a", "rooms-0")
                f.wait_ready()
            restore_after(f, grow)
            wait_for_new_generation(f)
            self.assert_answered(f, "rooms")
            wait_until(lambda: "rooms" in stored_services(f),
                       WRITTEN_BACK_SECONDS, "the service is in the store")
            self.assert_written_back_once(f, "config/tree/service/rooms")

    def test_an_agent_started_after_the_restore_gets_the_lost_key(self):
        with Fleet(TREE) as f:
            f.start(balancers=3, desk=1)

            def rotate():
                f.operator("rotate-keys")
                for process in [*f.balancers, f.targets[0].agent]:
                    wait_until(lambda p=process: key_is_known(p, 2), 11,
                               f"{process.name} has the new key")
            restore_after(f, rotate)
            target = f.add_target("desk", "riga-a", "desk-late")
            wait_until(lambda: key_is_known(target.agent, 2),
                       KEY_ACTIVATION_SECONDS,
                       "the new agent has the lost key")
            self.assert_written_back_once(f, "config/keys")
            wait_until(lambda: key_status(target.agent)["signing_epoch"] == 2,
                       KEY_ACTIVATION_SECONDS, "the lost key signs")
            f.wait_ready()
            self.assert_answered(f, "desk")
            self.assertGreater(len(target.log()["runs"]), 0)


if __name__ == "__main__":
    unittest.main()
