@0x9b7f63d05c41ea28;

struct Attribute {
  name @0 :Text;
  union {
    text @1 :Text;
    integer @2 :Int64;
    number @3 :Float64;
    flag @4 :Bool;
  }
}

struct Span {
  spanId @0 :Text;
  parentSpanId @1 :Text;
  name @2 :Text;
  start @3 :Float64;
  durationMs @4 :Float64;
  node @5 :Text;
  attributes @6 :List(Attribute);
}

struct FindSpans {
  traceId @0 :Text;
}

struct Spans {
  spans @0 :List(Span);
}
