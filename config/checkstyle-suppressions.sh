#!/usr/bin/env bash
# Compares config/checkstyle-suppressions.xml with the current violations of config/checkstyle.xml.
#
#   config/checkstyle-suppressions.sh check   prints entries that are no longer needed; exit status 1 if there are any
#   config/checkstyle-suppressions.sh write   regenerates the file: one entry for each file and rule, sorted
#
# The file may lose entries but not gain any: run `write` after fixing a violation, or after moving or reformatting files.
set -euo pipefail
shopt -s inherit_errexit
cd "$(dirname "$0")/.."

readonly SUPPRESSIONS=config/checkstyle-suppressions.xml
readonly REPORT=target/checkstyle-result.xml

# Prints a suppressions file with the entries read from standard input.
print_suppressions() {
    cat << 'HEAD'
<?xml version="1.0"?>
<!DOCTYPE suppressions PUBLIC "-//Checkstyle//DTD SuppressionFilter Configuration 1.2//EN"
    "https://checkstyle.org/dtds/suppressions_1_2.dtd">
<!-- Written by checkstyle-suppressions.sh: what does not meet a rule of checkstyle.xml yet. It only shrinks. -->
<suppressions>
HEAD
    cat
    echo '</suppressions>'
}

# Writes the Checkstyle report of all sources with suppressions disabled.
write_report() {
    local directory
    directory=$(mktemp -d)
    print_suppressions < /dev/null > "$directory/none.xml"
    rm -f "$REPORT"
    # Maven exits with an error if there are violations, so the last line of the report tells whether Checkstyle finished.
    mvn -q -B validate "-Dcheckstyle.suppressions=$directory/none.xml" "-Dcheckstyle.cache.file=$directory/cache" \
        > "$directory/log" 2>&1 || true
    if ! tail -n 1 "$REPORT" 2> /dev/null | grep -qx '</checkstyle>'; then
        cat "$directory/log" >&2
        echo "Checkstyle did not finish: no complete report in $REPORT" >&2
        exit 1
    fi
    rm -r "$directory"
}

# Prints a sorted entry for each file and rule of the report. `\b` prevents ParameterName from matching LambdaParameterName.
print_needed() {
    awk -F '"' -v root="$PWD/" '
        /^<file / {
            file = $2
            if (index(file, root) == 1) {
                file = substr(file, length(root) + 1)
            }
        }
        /^<error / {
            rule = $(NF - 1)
            sub(/.*\./, "", rule)
            sub(/Check$/, "", rule)
            printf "  <suppress files=\"%s\" checks=\"\\b%s\"/>\n", file, rule
        }' "$REPORT" | LC_ALL=C sort -u
}

print_listed() {
    [ -f "$SUPPRESSIONS" ] || return 0
    grep '<suppress ' "$SUPPRESSIONS" | LC_ALL=C sort -u || true
}

check_suppressions() {
    local unneeded
    unneeded=$(LC_ALL=C comm -23 <(print_listed) <(print_needed))
    [ -n "$unneeded" ] || return 0
    echo "$SUPPRESSIONS: entries no longer needed:" >&2
    echo "$unneeded" >&2
    exit 1
}

write_suppressions() {
    local before after
    before=$(print_listed | wc -l)
    print_needed | print_suppressions > "$SUPPRESSIONS.new"
    mv "$SUPPRESSIONS.new" "$SUPPRESSIONS"
    after=$(print_listed | wc -l)
    echo "$SUPPRESSIONS: $after entries, previously $before"
}

case ${1:-} in
    check)
        write_report
        check_suppressions
        ;;
    write)
        write_report
        write_suppressions
        ;;
    *)
        echo "usage: config/checkstyle-suppressions.sh check|write" >&2
        exit 2
        ;;
esac
