#!/usr/bin/env bash
# Regenerates generated/ from the schemas; "--check" only compares the recorded hash of the inputs.
set -euo pipefail
cd "$(dirname "$0")"

inputs_hash() {
    cat generate.sh ./*.schema.json | sha256sum | cut -d' ' -f1
}

if [ "${1:-}" = --check ]; then
    if [ "$(inputs_hash)" != "$(cat generated/inputs.sha256)" ]; then
        echo "generated code is older than the schemas: run ./run generate and commit the result" >&2
        exit 1
    fi
    exit 0
fi

npx --yes quicktype@26.0.0 --src-lang schema --lang c++ --namespace CassiaRelay::Schema --code-format with-struct \
    --include-location global-include --source-style single-source --type-style pascal-case --member-style camel-case \
    --enumerator-style pascal-case --hide-null-optional -o generated/types.h ./*.schema.json
# The generator has a style of its own.
sed -i -e '1i // NOLINTBEGIN' -e '$a // NOLINTEND' generated/types.h
{
    echo '#pragma once'
    echo
    echo '#include <string_view>'
    echo
    echo 'namespace CassiaRelay::Schema {'
    for schema in *.schema.json; do
        name=$(basename "$schema" .schema.json | tr '[:lower:]' '[:upper:]')
        printf '\ninline constexpr std::string_view %s_SCHEMA = R"schema(' "$name"
        cat "$schema"
        printf ')schema";\n'
    done
    echo
    echo '} // namespace CassiaRelay::Schema'
} > generated/sources.h
inputs_hash > generated/inputs.sha256
