@0xd7b1f4a2c86e9053;

struct Entry {
  digest @0 :UInt64;
  crashes @1 :UInt16;
  firstMilliseconds @2 :UInt32;
  lastMilliseconds @3 :UInt32;
  answeredMilliseconds @4 :UInt32;
  blockedMilliseconds @5 :UInt32;
  level @6 :UInt8;
}

struct Notice {
  kind @0 :UInt8;
  entries @1 :List(Entry);
  id @2 :UInt64;
}
