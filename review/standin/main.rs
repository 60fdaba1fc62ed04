//! Runs one case of the review: `standin CASE RECORD FOLDER`. With TROUBLE=0 in the environment the
//! disruption is left out. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod base;
mod lost;
mod refused;
mod twice;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record), Some(folder)) = (args.get(1), args.get(2), args.get(3)) else {
        eprintln!("standin CASE RECORD FOLDER");
        std::process::exit(2);
    };
    base::open_record(std::path::Path::new(record));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = std::path::Path::new(folder);
    std::thread::spawn(|| {
        base::sleep_ms(112_000);
        base::say("the case took too long");
        std::process::exit(2);
    });
    let code = match case.as_str() {
        "lost" => lost::run(folder, trouble),
        "twice" => twice::run(folder, trouble),
        "refused" => refused::run(folder, trouble),
        _ => 2,
    };
    // All processes have been ended and waited for.
    let _ = std::fs::remove_file(folder.join("pids"));
    std::process::exit(code);
}
