//! Measures the dispatcher's time for one request, from arrival to answer, by the
//! number of upstreams.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rosemarygauge::cmd::measure_load::{announced, in_and_out};
use rosemarygauge::load::scenarios::Kind;

fn request_in_and_out(c: &mut Criterion) {
    let mut group = c.benchmark_group("request in and out");
    for n in [50, 2_000, 21_000] {
        let mut dispatcher = announced(Kind::Dispatcher, 1, n);
        let mut id = 0;
        group.bench_function(BenchmarkId::from_parameter(n), |b| {
            b.iter(|| {
                id += 1;
                in_and_out(&mut dispatcher, 1, id);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, request_in_and_out);
criterion_main!(benches);
