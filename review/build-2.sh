#!/bin/sh
# Builds what the scripts of this review start besides the deploy file's
# programs: the project's fake store and the stand-ins of this review. Needs no
# network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
cmake -S . -B "$out" -DCMAKE_BUILD_TYPE=Release -DCT_TESTS=ON >/dev/null
cmake --build "$out" -j4 --target fake-store >/dev/null
for name in request runner uploads chunks crowd memory; do
	cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o "$out/$name" \
		"review/stand-ins-2/$name.c" review/stand-ins-2/net.c -pthread
done
