@0xb4f1d0c7a52e9c31;

struct Hello {
  deployment @0 :Text;
  minimumVersion @1 :UInt16;
  maximumVersion @2 :UInt16;
  processId @3 :Text;
  role @4 :Text;
  nonce @5 :Data;
}

struct Error {
  code @0 :Text;
  message @1 :Text;
  mayHaveRun @2 :Bool;
}
