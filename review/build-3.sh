#!/usr/bin/env bash
# Builds the cases 11 to 15 and the project's stand-ins that they use into target/review-3/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out/objects"
flags=(-std=c++20 -O1 -g1 -w -Iinclude -Isrc -I. -Itests -Ireview/common-3 '-DHEATHERROUTE_VERSION="review"' -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE)
shared=(tests/standins/site_store.cpp tests/standins/site_upstream.cpp tests/support/relay_site.cpp tests/support/fault_proxy.cpp
    tests/support/process.cpp tests/support/link_cut.cpp)
pids=()
objects=()
for source in "${shared[@]}"; do
    object="$out/objects/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
done
for folder in review/1[1-5]; do
    if [ -f "$folder/case.cc" ]; then
        g++ "${flags[@]}" -c "$folder/case.cc" -o "$out/objects/case-$(basename "$folder").o" &
        pids+=($!)
    fi
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for folder in review/1[1-5]; do
    if [ -f "$folder/case.cc" ]; then
        name="case-$(basename "$folder")"
        g++ "$out/objects/$name.o" "${objects[@]}" target/libheatherroute.a -lyaml-cpp -lxxhash -lsodium -lpthread -ldl -o "$out/$name"
    fi
done
