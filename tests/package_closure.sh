#!/usr/bin/env bash
# Compares the packages that the deploy file lists, with all that they depend on, with the files that its build really
# used: headers and libraries, cmake's modules, the programs that were run, and what the product loads when it starts.
# It fails with the files that no listed package brings, and with listed packages that bring nothing that was used.
# Needs apt's lists and the finished build, no network; it does not matter what else is installed.
#   tests/package_closure.sh [DEPLOY_FILE [BUILD_FOLDER]]
set -euo pipefail
cd "$(dirname "$0")/.."
deploy_file=${1:-deploy/system.toml}
folder=${2:-target}
root=$(pwd -P)
optional='/ccache$'   # is used where it is found and not missed where it isn't

packages_of() { sed -n 's/^packages *= *\[\(.*\)\]/\1/p' "$1" | tr -d '" ' | tr ',' '\n'; }

# Names of the packages that a machine with nothing but the essential ones would get.
closure_of() {
  echo "$essential"
  apt-get -o Dir::State::status=/dev/null -s install --no-install-recommends "$@" | awk '/^Inst /{print $2}'
}

# Absolute paths of the files that the build used, one a line.
used_files() {
  local compiler program link
  compiler=$(sed -n 's/^CMAKE_CXX_COMPILER:[A-Z]*=//p' "$folder/CMakeCache.txt")
  find "$folder" -name '*.d' -exec cat {} + | tr -s ' \\\t' '\n' | grep '^/'
  grep -o '"/[^"]*"' "$folder/CMakeFiles/Makefile.cmake" | tr -d '"'
  sed -n 's/^CMAKE_MAKE_PROGRAM:[A-Z]*=//p; s/^CMAKE_COMMAND:[A-Z]*=//p' "$folder/CMakeCache.txt"
  find "$folder" -name build.make -exec grep -hoE '(^|[ \t])/[^ ]*/bin/[^ ]+' {} + | tr -d ' \t' | sort -u
  for program in cc1plus as collect2 ld; do command -v "$("$compiler" -print-prog-name=$program)"; done
  while read -r link; do
    awk '{print $1}' "$link"
    grep -q -- ' -o ' "$link" || continue
    (cd "$folder" && bash -c "$(sed 's/ -o [^ ]*/ -o \/dev\/null -Wl,--trace/' "$root/$link")") | grep '^/' | sed 's/(.*//'
    ldd "$folder/$(sed 's/.* -o \([^ ]*\).*/\1/' "$link")" | grep -o '/[^ ]*'
  done < <(find "$folder" -name link.txt)
}

# Each path, normalised and with the folders that are links to those of /usr, and the files that it links to.
with_link_targets() {
  local path next
  xargs -d '\n' realpath -sqe | sort -u | while read -r path; do
    echo "$path"
    while [[ -L $path ]]; do
      next=$(readlink "$path")
      [[ $next == /* ]] || next=$(dirname "$path")/$next
      path=$(realpath -s "$next")
      echo "$path"
    done
  done | sed -E 's#^/(bin|sbin|lib|lib64)/#/usr&#'
}

# Lines "package path". A package may know a file by its path before /bin and /lib became links to /usr.
owners_of() {
  local paths=("$@")
  { dpkg -S "${paths[@]}" "${paths[@]#/usr}" 2>/dev/null || true; } | grep -v '^diversion' |
    awk -F': ' '{split($1, names, ", "); for (i in names) {sub(/:.*/, "", names[i]); print names[i], $2}}'
}

# Lines "no-package path" of files that are no links and belong to no package.
without_owner() {
  local path
  for path in "$@"; do [[ -L $path ]] || echo "$path"; done |
    awk 'NR==FNR{owned[$2]; owned["/usr" $2]; next} !($1 in owned) {print "no-package", $1}' <(echo "$owners") -
}

essential=$(apt-cache dumpavail | awk '/^Package: /{name=$2} /^Essential: yes/{print name}')
mapfile -t listed < <(packages_of "$deploy_file")
mapfile -t files < <(used_files | sort -u | with_link_targets | sort -u | grep -vE "^$root/|$optional")
((${#files[@]} > 1000)) || { echo "Only ${#files[@]} used files were found in $folder: is the build whole?"; exit 1; }
owners=$(owners_of "${files[@]}")
owners+=$'\n'$(without_owner "${files[@]}")

# Lines "package path" of the used files that the packages given don't bring.
uncovered() {
  local closure
  closure=$(closure_of "$@")
  awk 'NR==FNR{brought[$1]; next} !($1 in brought)' <(echo "$closure") <(echo "$owners")
}

failed=0
missing=$(uncovered "${listed[@]}")
if [[ -n $missing ]]; then
  echo "$deploy_file lists no package that brings these files, which the build used (package, files, one of them):"
  awk '{count[$1]++; example[$1]=$2} END {for (name in count) print "  " name, count[name], example[name]}' <<<"$missing"
  failed=1
fi
for package in "${listed[@]}"; do
  rest=()
  for other in "${listed[@]}"; do [[ $other == "$package" ]] || rest+=("$other"); done
  if [[ $(uncovered "${rest[@]}") == "$missing" ]]; then
    echo "$deploy_file lists $package, which brings nothing that the build used"
    failed=1
  fi
done
((failed)) || echo "${#files[@]} used files come from the ${#listed[@]} packages listed and what they depend on"
exit $failed
