#!/bin/sh
# Installs the build into a directory of its own, builds embed.c against it by
# pkg-config, and runs it. Arguments: build directory, this directory, compiler.
set -eu
build=$1
source=$2
compiler=$3
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install "$build" --prefix "$prefix" >/dev/null
PKG_CONFIG_PATH=$(dirname "$(find "$prefix" -name coriandertrack.pc)")
export PKG_CONFIG_PATH
# shellcheck disable=SC2046
"$compiler" ${CFLAGS:-} "$source/embed.c" -o "$prefix/embed" \
	$(pkg-config --cflags --libs coriandertrack)
"$prefix/embed" >"$prefix/output"
test -s "$prefix/output"
