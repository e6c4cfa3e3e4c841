#!/bin/sh
# Generates the test certificates of this directory: an authority, two processes signed by it, and a
# process of another authority. They protect nothing and are valid for 100 years.
set -eu
cd "$(dirname "$0")"
days=36500
authority() {
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days "$days" \
    -subj "/CN=$1" -keyout "$1.key" -out "$1.pem"
}
process() {
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
    -subj "/CN=$1" -keyout "$1.key" -out "$1.csr"
  openssl x509 -req -in "$1.csr" -CA "$2.pem" -CAkey "$2.key" -CAcreateserial -days "$days" \
    -out "$1.pem"
  rm "$1.csr" "$2.srl"
}
authority authority
authority other-authority
process process-1 authority
process process-2 authority
process stranger other-authority
rm authority.key other-authority.key
