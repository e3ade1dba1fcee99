"""Writes the days of single kinds and of pairs of trouble into deploy/days/.

    tools/days.py          writes the files
    tools/days.py --check  tells whether they are as this script writes them

Each kind gets a day of its own, on which it comes alone, and later twice in
quick succession. Pairs come at the same second; which ones is drawn from a
fixed seed, so that the files stay the same. The bench's hunts play them with
times and figures varied, beside the other days of the folder.
"""

import argparse
import pathlib
import random
import sys

DAYS = pathlib.Path(__file__).resolve().parents[1] / "deploy/days"
PAIRS = 24
PAIR_SEED = 4
FIRST_AT, REPEATED_AT = 6.0, (17.0, 19.0)
PAIR_AT = (6.0, 18.0)

# Each kind: name of its day, list that the entry belongs to ("plan" or "faults"),
# kind, further fields as TOML text.
KINDS = [
    ("crash-dark", "faults", "srv_crash", 'share = 0.3, how = "dark", for_s = 4.0'),
    ("crash-gone", "faults", "srv_crash", 'share = 0.2, how = "gone"'),
    ("crash-domain", "faults", "srv_crash", 'how = "domain", for_s = 4.0'),
    ("slow-upstreams", "faults", "srv_slow", "share = 0.3, x = 5.0, for_s = 5.0"),
    ("release", "plan", "release", "share = 0.5, gap_s = 1.0"),
    ("reuse", "faults", "replace_with_reuse", "share = 0.3"),
    ("reuse-drain", "faults", "replace_with_reuse", 'share = 0.3, how = "drain"'),
    ("reuse-dark", "faults", "replace_with_reuse", 'share = 0.3, how = "dark"'),
    ("reuse-side", "faults", "replace_with_reuse", 'share = 0.3, how = "side"'),
    ("scale-out", "plan", "scale_out", "share = 0.4, gap_s = 1.0"),
    ("scale-in", "plan", "scale_in", "share = 0.2"),
    ("scale-in-spot", "plan", "scale_in", 'share = 0.3, how = "spot", x = 2.0'),
    ("scale-in-reclaim", "plan", "scale_in", 'how = "reclaim", x = 2.5, for_s = 5.0'),
    ("kill-fronts", "faults", "node_kill", "share = 0.4"),
    ("kill-sides", "faults", "node_kill", 'on = "side", share = 0.4'),
    ("power-fronts", "faults", "node_kill", 'share = 0.4, how = "power meet", for_s = 3.0'),
    ("power-sides", "faults", "node_kill", 'on = "side", share = 0.3, how = "power race", for_s = 3.0'),
    ("freeze-fronts", "faults", "node_freeze", "share = 0.4, for_s = 2.0"),
    ("freeze-sides", "faults", "node_freeze", 'on = "side", share = 0.3, for_s = 3.0'),
    ("slow-fronts", "faults", "node_slow", "share = 0.4, x = 5.0, for_s = 6.0"),
    ("slow-sides", "faults", "node_slow", 'on = "side", share = 0.4, x = 5.0, for_s = 6.0'),
    ("roll-fronts", "plan", "roll_term", "share = 1.0, x = 2, gap_s = 0.7"),
    ("roll-sides", "plan", "roll_term", 'on = "side", share = 0.5, gap_s = 0.7'),
    ("roll-remove", "plan", "roll_term", 'count = 1, how = "remove"'),
    ("herd-kill", "faults", "herd_kill", "share = 0.7"),
    ("herd-power", "faults", "herd_kill", 'share = 0.6, how = "power", for_s = 2.0'),
    ("herd-sides", "faults", "herd_kill", 'on = "side", share = 0.5'),
    ("add-nodes", "plan", "add_nodes", "share = 1.0"),
    ("clock-back", "faults", "clock_step", 'share = 0.5, x = 5000.0, how = "back", for_s = 4.0'),
    ("clock-ahead", "faults", "clock_step", 'share = 0.5, x = 5000.0, how = "ahead", for_s = 4.0'),
    ("cut-fronts", "faults", "node_cut", "share = 0.4, for_s = 4.0"),
    ("cut-all", "faults", "node_cut", 'share = 0.4, how = "all", for_s = 4.0'),
    ("cut-servers", "faults", "node_cut", 'share = 0.3, how = "servers", for_s = 4.0'),
    ("cut-reborn", "faults", "node_cut", 'share = 0.3, how = "servers reborn", for_s = 4.0'),
    ("cut-reset", "faults", "node_cut", 'share = 0.4, how = "all reset", for_s = 4.0'),
    ("store-nodes-busy", "faults", "platform_down", 'share = 0.5, how = "nodes busy", for_s = 6.0'),
    ("store-nodes-many", "faults", "platform_down", 'share = 0.5, how = "nodes many", for_s = 6.0'),
    ("store-nodes-silent", "faults", "platform_down", 'share = 0.5, how = "nodes", for_s = 6.0'),
    ("store-silent", "faults", "platform_down", 'how = "silent", for_s = 6.0'),
    ("store-busy-lapse", "faults", "platform_down", 'how = "busy lapse", for_s = 6.0'),
    ("store-reset", "faults", "platform_down", 'how = "reset", for_s = 6.0'),
    ("store-slow", "faults", "platform_slow", "x = 50.0, for_s = 6.0"),
    ("store-lost", "faults", "platform_lost", "x = 0.5, for_s = 6.0"),
    ("store-late", "faults", "platform_lost", 'x = 0.5, how = "late", for_s = 6.0'),
    ("store-compact", "faults", "platform_compact", "for_s = 5.0"),
    ("store-stale", "faults", "platform_compact", 'how = "stale drain", x = 3.0, for_s = 5.0'),
    ("config-route", "plan", "config_change", 'how = "route"'),
    ("config-weights", "plan", "config_change", 'how = "weights"'),
    ("config-timeout", "plan", "config_change", 'how = "timeout"'),
    ("config-quota", "plan", "config_change", 'how = "quota down"'),
    ("config-idle", "plan", "config_change", 'how = "idle"'),
    ("big-config", "plan", "big_config", "count = 200"),
    ("config-storm", "plan", "config_storm", "gap_s = 0.3, for_s = 4.0"),
    ("after-ack", "faults", "after_ack_kill", "count = 2"),
    ("after-ack-timed", "faults", "after_ack_kill", 'how = "timed"'),
    ("hup", "plan", "hup", "share = 1.0, gap_s = 0.5"),
    ("reset-connections", "faults", "reset_conns", "share = 1.0, x = 1.0"),
]

# Kinds that change the load, or how well upstreams serve it.
LOAD_KINDS = [
    ("burst", "faults", "burst", "x = 1.7, for_s = 5.0"),
    ("burst-over-capacity", "faults", "burst", "x = 3.0, for_s = 5.0"),
    ("burst-of-one-kind", "faults", "burst", 'x = 4.0, for_s = 5.0, class = "@c0"'),
    ("shift", "faults", "shift", "share = 0.7, for_s = 6.0"),
    ("grey-upstreams", "faults", "srv_grey", "share = 0.3, x = 0.5, for_s = 6.0"),
    ("lying-health", "faults", "srv_lying_health", "share = 0.3, for_s = 6.0"),
    ("flapping-upstreams", "faults", "srv_flap", "share = 0.3, for_s = 8.0"),
    ("lossy-links", "faults", "lossy", "share = 0.4, x = 0.05, for_s = 6.0"),
]
LOAD_PAIRS = 12


# Returns the TOML line of a kind at a time, in seconds.
def entry_text(kind, at):
    _, _, name, fields = kind
    return f'  {{ kind = "{name}", {fields}, at = {at} }},'


def day_text(name, comment, entries):
    """Returns the TOML text of a day; `entries` are pairs of a kind and a time."""
    lines = [f"# {comment}", f'name = "{name}"']
    for group in ("plan", "faults"):
        group_entries = [entry_text(k, at) for k, at in entries if k[1] == group]
        lines += [f"{group} = [", *group_entries, "]"] if group_entries else [f"{group} = []"]
    return "\n".join(lines) + "\n"


def pair_of_days(generator, first_kinds, second_kinds):
    """Draws two kinds; returns the name and the text of the day of that pair."""
    if first_kinds is second_kinds:
        first, second = generator.sample(first_kinds, 2)
    else:
        first, second = generator.choice(first_kinds), generator.choice(second_kinds)
    name = f"pair-{first[0]}-and-{second[0]}"
    return name, day_text(name, f"{first[2]} and {second[2]} at the same second.",
                          [(kind, at) for at in PAIR_AT for kind in (first, second)])


def all_days():
    """Returns the text of each day by its file name without the suffix."""
    days = {}
    for kind in KINDS + LOAD_KINDS:
        name = f"single-{kind[0]}"
        days[name] = day_text(name, f"{kind[2]} alone, then twice.",
                              [(kind, at) for at in (FIRST_AT, *REPEATED_AT)])
    generator = random.Random(PAIR_SEED)
    pairs = {}
    while len(pairs) < PAIRS:
        pairs.update([pair_of_days(generator, KINDS, KINDS)])
    while len(pairs) < PAIRS + LOAD_PAIRS:
        pairs.update([pair_of_days(generator, LOAD_KINDS, KINDS)])
    days.update(pairs)
    return days


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    check = parser.parse_args().check
    mismatches = 0
    for name, text in all_days().items():
        path = DAYS / f"{name}.toml"
        if not check:
            path.write_text(text)
        elif not path.exists() or path.read_text() != text:
            print(f"{path}: not as tools/days.py writes it")
            mismatches += 1
    return 1 if mismatches else 0


if __name__ == "__main__":
    sys.exit(main())
