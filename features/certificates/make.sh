#!/usr/bin/env bash
# Make the certificates of the tests again: two authorities, and instances signed by them.
# Valid from 2020 for a hundred years; they protect nothing but the tests.
set -eu
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT
dates=(-startdate 20200101000000Z -enddate 21200101000000Z)

authority() {
  mkdir "$work/$1"
  touch "$work/$1/index"
  printf '%s\n' '[ca]' 'default_ca=own' '[own]' "dir=$work/$1" "database=$work/$1/index" \
    "new_certs_dir=$work/$1" 'rand_serial=yes' 'default_md=sha256' 'policy=any' 'copy_extensions=copy' \
    'unique_subject=no' '[any]' 'commonName=supplied' '[req]' 'distinguished_name=name' '[name]' \
    '[root]' 'basicConstraints=critical,CA:true' 'keyUsage=critical,keyCertSign' > "$work/$1/conf"
  openssl req -config "$work/$1/conf" -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
    -keyout "$work/$1/key" -subj "/CN=$1" -out "$work/$1/csr"
  openssl ca -config "$work/$1/conf" -batch -selfsign -keyfile "$work/$1/key" -in "$work/$1/csr" \
    -extensions root "${dates[@]}" -notext -out "$1.pem"
}

# instance NAME AUTHORITY IP
instance() {
  openssl req -config "$work/$2/conf" -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
    -keyout "$1.key" -subj "/CN=$1" -addext "subjectAltName=IP:$3" -out "$work/$1.csr"
  openssl ca -config "$work/$2/conf" -batch -keyfile "$work/$2/key" -cert "$2.pem" \
    -in "$work/$1.csr" "${dates[@]}" -notext -out "$1.pem"
}

authority fleet-authority
authority other-authority
instance fleet fleet-authority 127.0.0.1
instance elsewhere fleet-authority 10.9.9.9
instance stranger other-authority 127.0.0.1
