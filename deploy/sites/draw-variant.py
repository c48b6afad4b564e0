#!/usr/bin/env python3
"""Draws a variant of a deployment of the scheduler, so that the program is played on one that nobody tuned it to.

draw-variant.py SITE SEED FOLDER   writes FOLDER/variant-SEED.toml and, beside it, the files that SITE needs

The same seed gives the same variant. Drawn are: the processor share of each class of machines, the time of a sync, the delays
between zones and to clients, the bounds on holds, drains and catching up, how work is spread over kinds (processor, memory,
width, closeness to data, errors of estimates), and the traffic of each zone. Names of zones are replaced.
"""
import pathlib
import random
import re
import shutil
import sys

# Keys of numbers, and between which factors each is scaled. All occurrences of a key within one line get one factor.
FACTORS = {
    "cpu_share": (0.8, 1.3),
    "sync_ms": (0.4, 2.5),
    "cross_zone_ms": (0.4, 2.5),
    "client_ms": (0.5, 2.0),
    "hold_max_ms": (0.7, 1.5),
    "catch_up_s": (0.8, 1.5),
    "stop_ms": (0.5, 1.5),
    "restore_ms": (0.5, 2.0),
    "far_x": (0.8, 1.5),
    "save_s": (0.7, 1.4),
    "near": (0.5, 1.5),
    "uneven": (0.5, 1.5),
    "est_off": (0.5, 1.3),
    "per_s": (0.85, 1.1),
}
# Within `cpu = { mean = ... }` and the like.
SPREADS = {"cpu": (0.8, 1.15), "mem_mb": (0.7, 1.2), "width": (0.8, 1.15)}
# Whole numbers in the site file.
WHOLE = {"stop_ms"}


def scaled(text, key, low, high, draw):
    factor = draw.uniform(low, high)

    def replace(match):
        value = float(match.group(2)) * factor
        digits = f"{value:.0f}" if key in WHOLE else f"{value:.4g}"
        if key not in WHOLE and "." not in digits and "e" not in digits:
            digits += ".0"
        return match.group(1) + digits

    return re.sub(rf"(\b{key} = )([0-9.]+)", replace, text)


def variant(text, draw):
    zones = re.findall(r'\{ name = "([^"]+)", region', text)
    names = [f"hall-{draw.randrange(1000, 9999)}" for _ in zones]
    for zone, name in zip(zones, names):
        text = text.replace(f'"{zone}"', f'"{name}"')
    lines = []
    for line in text.split("\n"):
        if not line.startswith("small = "):
            for key, (low, high) in FACTORS.items():
                line = scaled(line, key, low, high, draw)
            for key, (low, high) in SPREADS.items():
                factor = draw.uniform(low, high)
                line = re.sub(
                    rf"(\b{key} = \{{ mean = )([0-9.]+)",
                    lambda match: f"{match.group(1)}{float(match.group(2)) * factor:.1f}",
                    line,
                )
        lines.append(line)
    return "\n".join(lines)


def main():
    site, seed, folder = pathlib.Path(sys.argv[1]), int(sys.argv[2]), pathlib.Path(sys.argv[3])
    folder.mkdir(parents=True, exist_ok=True)
    for beside in ("wire.json", "CUT"):
        if (site.parent / beside).exists():
            shutil.copyfile(site.parent / beside, folder / beside)
    drawn = variant(site.read_text(), random.Random(seed))
    (folder / f"variant-{seed}.toml").write_text(drawn)


if __name__ == "__main__":
    main()
