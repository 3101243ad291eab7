//! Evaluation must not allocate once the scratch buffer has its capacity.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use doortrack_expr::{Limits, LiteralRequest, Scratch, infer};

struct CountingAllocator;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

// SAFETY: every call is forwarded to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        _ = ALLOCATIONS.try_with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn typical_expressions_allocate_nothing() {
    let request = LiteralRequest::example();
    for source in [
        "path.starts_with(\"/book/\")",
        "(segment(1) ?? \"\") in [\"north\", \"south\", \"east\", \"west\"]",
        "lower(header(\"x-yard\") ?? \"\") == \"north\"",
        "header(\"x-yard\") ?? parameter(\"yard\") ?? \"none\"",
        "hash(header(\"x-yard\") ?? \"\") % 16",
        "matches(path, \"^/book/[a-z]+/berth-[0-9]+$\")",
        "cidr(peer, \"10.0.0.0/8\", \"192.168.0.0/16\")",
        "first(split(text(body) ?? \"\", \";\", 8), p -> p.starts_with(\"nights=\")) ?? \"\"",
        "let yard = lower(header(\"x-yard\") ?? \"\"); yard + \"/\" + (segment(2) ?? \"\")",
        "if body_length > 1024 || time_of_day < 6h { 0.1 } else { 0.9 }",
    ] {
        let program = infer(source, Limits::default()).unwrap();
        let mut scratch = Scratch::default();
        // The first evaluation allocates the scratch buffer and the regex caches.
        program.eval(&request, &mut scratch);
        let before = ALLOCATIONS.get();
        for _ in 0..100 {
            std::hint::black_box(program.eval(&request, &mut scratch));
        }
        assert_eq!(ALLOCATIONS.get() - before, 0, "{source}");
    }
}
