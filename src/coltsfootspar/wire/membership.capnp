@0xe8a4c6d2b19f3075;

struct Contact {
  dataCentre @0 :Text;
  ageMilliseconds @1 :UInt32;
}

struct Record {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  status @2 :UInt8;
  isLeaving @3 :Bool;
  isFull @4 :Bool;
  region @5 :Text;
  dataCentre @6 :Text;
  gossipAddress @7 :Text;
  peerAddress @8 :Text;
  service @9 :Text;
  slots @10 :UInt32;
  warmMilliseconds @11 :UInt32;
  statusSeconds @12 :UInt32;
  callsPerSecond @13 :UInt32;
}

struct Packet {
  sender @0 :Text;
  sequence @1 :UInt32;
  target @2 :Text;
  tableVersion @3 :UInt64;
  contacts @4 :List(Contact);
  records @5 :List(Record);
  digest @6 :Data;
  wantsReply @7 :Bool;
}
