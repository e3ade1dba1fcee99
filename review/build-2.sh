#!/bin/sh
# The stand-ins of the script cases (review/standins2.py) are Python programs
# that use the standard library only. This checks that they can be read.
cd "$(dirname "$0")" && python3 -B -c '
import ast, glob
for name in ["standins2.py", *glob.glob("[6-9]/case.py"), *glob.glob("10/case.py")]:
    ast.parse(open(name, encoding="utf-8").read(), name)
'
