#!/bin/sh
# Installs the build into a temporary prefix, builds embed.c against it with
# pkg-config and runs the result.
# Usage: build-installed.sh BUILD-DIR SOURCE-DIR COMPILER
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
