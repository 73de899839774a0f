#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/build/. Run it after the build of the deploy file, which leaves the libraries in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=(-std=c++20 -O1 -Iinclude -Isrc -Itests -Ireview/common -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE "-DHEATHERROUTE_VERSION=\"review\""
    -Wno-mismatched-new-delete)
sources=(tests/standins/site_store.cpp tests/standins/site_upstream.cpp tests/support/relay_site.cpp tests/support/fault_proxy.cpp
    tests/support/link_cut.cpp tests/support/process.cpp tests/support/stream_caller.cpp)
objects=()
jobs=()
for source in "${sources[@]}"; do
    object="review/build/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ "${flags[@]}" -c "$source" -o "$object" &
    jobs+=($!)
done
for driver in review/[0-9]/*.cc; do
    name="case_$(basename "$(dirname "$driver")")"
    g++ "${flags[@]}" -c "$driver" -o "review/build/$name.o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for driver in review/[0-9]/*.cc; do
    name="case_$(basename "$(dirname "$driver")")"
    g++ "review/build/$name.o" "${objects[@]}" target/libheatherroute.a -o "review/build/$name" -lyaml-cpp -lxxhash -lpthread
done
