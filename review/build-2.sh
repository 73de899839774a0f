#!/usr/bin/env bash
# Builds the programs that the scripts of review/6 to review/10 start, into target/review-2/. To be run after the build of the deploy file,
# whose library it uses. Usage: review/build-2.sh
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -w -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE -I. -Iinclude -Isrc -Itests)
sources=(tests/standins/site_store.cpp tests/standins/site_upstream.cpp
    tests/support/process.cpp tests/support/relay_site.cpp tests/support/fault_proxy.cpp tests/support/link_cut.cpp)
objects=()
pids=()
programs=(review/6/order.cc review/7/stale_config.cc review/8/recovery.cc)
for source in "${sources[@]}" "${programs[@]}"; do
    name=$(basename "$source")
    g++ "${flags[@]}" -c "$source" -o "$out/${name%.*}.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for source in "${sources[@]}"; do
    objects+=("$out/$(basename "$source" .cpp).o")
done
for program in "${programs[@]}"; do
    name=$(basename "$program" .cc)
    g++ "$out/$name.o" "${objects[@]}" target/libheatherroute.a -lyaml-cpp -lxxhash -lsodium -ldl -pthread -o "$out/$name"
done
