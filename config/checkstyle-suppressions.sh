#!/usr/bin/env bash
# Compares config/checkstyle-suppressions.xml to the present violations of config/checkstyle.xml.
#
#   config/checkstyle-suppressions.sh check   prints entries that are no longer needed; exit status 1 where there are any
#   config/checkstyle-suppressions.sh write   writes the file anew: one entry for each file and rule, sorted
#
# The file only shrinks: `write` is for after an entry was fixed, or after files were moved or reformatted.
set -euo pipefail
shopt -s inherit_errexit
cd "$(dirname "$0")/.."

readonly SUPPRESSIONS=config/checkstyle-suppressions.xml
readonly REPORT=target/checkstyle-result.xml

# Prints a file of suppressions with the entries on standard input.
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

# Writes Maven's report on all sources, with no violation suppressed.
write_report() {
    local directory
    directory=$(mktemp -d)
    print_suppressions < /dev/null > "$directory/none.xml"
    rm -f "$REPORT"
    # Maven fails where there are violations; whether Checkstyle ran to its end is seen by the report's last line.
    mvn -q -B validate "-Dcheckstyle.suppressions=$directory/none.xml" "-Dcheckstyle.cache.file=$directory/cache" \
        > "$directory/log" 2>&1 || true
    if ! tail -n 1 "$REPORT" 2> /dev/null | grep -qx '</checkstyle>'; then
        cat "$directory/log" >&2
        echo "Checkstyle did not run to its end" >&2
        exit 1
    fi
    rm -r "$directory"
}

# Prints an entry for each file and rule of the report, sorted. `\b` keeps ParameterName from matching LambdaParameterName.
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
    echo "$SUPPRESSIONS: no longer needed:" >&2
    echo "$unneeded" >&2
    exit 1
}

write_suppressions() {
    local before after
    before=$(print_listed | wc -l)
    print_needed | print_suppressions > "$SUPPRESSIONS.new"
    mv "$SUPPRESSIONS.new" "$SUPPRESSIONS"
    after=$(print_listed | wc -l)
    echo "$SUPPRESSIONS: $after entries, formerly $before"
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
