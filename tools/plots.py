"""Draws the plots of docs/MEASUREMENTS.md from the committed results.

Needs Debian's python3-matplotlib, so run it with the system's interpreter:
/usr/bin/python3 tools/plots.py
"""

import json
import pathlib

import matplotlib
matplotlib.use("svg")
import matplotlib.pyplot as plt  # noqa: E402

DOCS = pathlib.Path(__file__).resolve().parents[1] / "docs"
# A fixed salt and no date keep the SVG files reproducible.
matplotlib.rcParams["svg.hashsalt"] = "filberthollow"
SIZE = (7, 3.2)


def save(figure, name):
    figure.tight_layout()
    figure.savefig(DOCS / name, metadata={"Date": None})


def plot_storm():
    storm = json.loads((DOCS / "storm-results.json").read_text())
    figure, axes = plt.subplots(figsize=SIZE)
    for name, label in (("ours", "filberthollow"), ("naive", "naive baseline")):
        answered = [second[2] for second in storm[name]["seconds"]]
        axes.plot(answered, label=label)
    axes.axhline(storm["capacity"], color="grey", linestyle="--",
                 label="capacity")
    axes.set_xlabel("second of submission (storm from 5 to 20)")
    axes.set_ylabel("first attempts answered")
    axes.legend()
    save(figure, "storm.svg")


def plot_placement():
    results = json.loads((DOCS / "capacity-results.json").read_text())
    figure, axes = plt.subplots(figsize=SIZE)
    for series in results["series"]:
        if series["name"] == "placement_time":
            axes.plot(*zip(*series["points"]), marker="o", label="rendezvous")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("targets of the service")
    axes.set_ylabel("microseconds a flow")
    axes.legend()
    save(figure, "placement.svg")


if __name__ == "__main__":
    plot_storm()
    plot_placement()
