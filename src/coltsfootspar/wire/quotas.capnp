@0xb5f0c93e6a7d4821;

struct Ask {
  organisation @0 :UInt64;
  count @1 :UInt32;
  spare @2 :UInt32;
}

struct Grant {
  organisation @0 :UInt64;
  count @1 :UInt32;
  refused @2 :UInt32;
  retryMilliseconds @3 :UInt32;
}

struct TokenRequest {
  asks @0 :List(Ask);
  number @1 :UInt32;
}

struct TokenReply {
  isAvailable @0 :Bool;
  lifetimeMilliseconds @1 :UInt32;
  grants @2 :List(Grant);
  number @3 :UInt32;
}

struct RefillRequest {
  term @0 :UInt64;
  echo @1 :Float64;
  hasShare @2 :Bool;
  asks @3 :List(Ask);
}

struct RefillReply {
  stamp @0 :Float64;
  grants @1 :List(Grant);
}
