@0xd9c5e1a37b60f284;

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Call {
  service @0 :Text;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  attempt @4 :UInt16;
  isSpilled @5 :Bool;
  traceId @6 :Text;
  parentSpanId @7 :Text;
  remainingMicroseconds @8 :UInt64;
  importance @9 :UInt8;
  bucket @10 :UInt16;
  allowance @11 :UInt16;
  depth @12 :UInt16;
  isClientRetry @13 :Bool;
  idempotencyKey @14 :Text;
  rowKey @15 :Text;
  entryId @16 :Text;
}

struct Signal {
  service @0 :Text;
  importance @1 :UInt8;
  bucket @2 :UInt16;
  expiresMilliseconds @3 :UInt32;
}

struct Reply {
  status @0 :UInt16;
  headers @1 :List(Header);
  outcome @2 :Text;
  unusedAllowance @3 :UInt16;
  signals @4 :List(Signal);
  reached @5 :List(Text);
  serviceMicroseconds @6 :UInt64;
  refusalCode @7 :Text;
  retryAfterMilliseconds @8 :UInt32;
  isRefusedBelow @9 :Bool;
}
