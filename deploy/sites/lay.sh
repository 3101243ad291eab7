#!/usr/bin/env bash
# Lays beside each variant of this folder the files of the operators' kit that a bench wants there unchanged.
# They are not kept in the repository. KIT names the folder of the kit's own site that they are taken from.
set -euo pipefail
kit=${KIT:-../given/kit/more/mass/other}
here=$(dirname "$0")
for site in "$here"/*/site.toml; do
    for file in real.json wire.json unlock.txt; do
        cp --force "$kit/$file" "$(dirname "$site")/$file"
        chmod u+w "$(dirname "$site")/$file"
    done
done
