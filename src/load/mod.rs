//! Load management: admission, queueing, routing, retries and gradual load shifts.
//!
//! A dispatcher is a deterministic state machine. The driver passes it every [`Input`]
//! with the current time and executes every [`Action`] that it returns. It holds no
//! clock, socket, thread or unseeded random number, and iterates over no unordered map.
//!
//! Each module handles one load pattern, which its module documentation describes:
//!
//! | Module | Decides |
//! | --- | --- |
//! | `admission` | which requests are admitted, and the retry-after time of the others |
//! | `arrival` | the steps from arrival to the queue, and queue timeouts |
//! | `queue`, `fair` | the order among teams and callers |
//! | `headroom` | the slots reserved for urgent work, and those guaranteed to patient work |
//! | `scheduling` | which class, service and zone goes next; reservations for large requests |
//! | `route` | which upstream |
//! | `zone_weights` | the share of each availability zone, and how fast it shifts |
//! | `shares` | which share of an upstream's slots this entry instance uses |
//! | `limit`, `run_time`, `wait_error` | learned values: concurrency limits, run times, errors of estimated waits |
//! | `health` | which upstreams are ejected |
//! | `attempt_end` | what an ended attempt changes, and whether its request is retried |
//! | `retry` | retry budgets |
//! | `answer` | the final answer of each request |
//! | `teams` | quotas |

mod action;
mod admission;
mod answer;
mod arrival;
mod attempt_end;
mod dispatcher;
mod fair;
pub mod fleets;
mod group;
pub mod harness;
mod headroom;
mod health;
mod input;
mod limit;
mod membership;
mod naive;
mod overview;
pub mod plays;
mod queue;
mod ready;
mod request;
mod retry;
mod route;
mod run_time;
pub mod scenarios;
mod scheduling;
mod service_load;
mod settings;
mod shares;
mod status;
mod teams;
mod timers;
mod tracked;
mod trail;
mod upstream;
mod upstreams;
mod view;
mod view_change;
mod wait_error;
mod zone_weights;

pub use action::Action;
pub use dispatcher::Dispatcher;
pub use health::{EjectReason, Health};
pub use input::{AttemptRefusal, Input};
pub use naive::Naive;
pub use request::{AttemptId, Request, RequestId};
pub use retry::RetryReason;
pub use settings::LoadSettings;
pub use status::{LoadStatus, QueueStatus, ServiceStatus, UpstreamStatus};
pub use trail::{Decision, Placement, TrailEntry};
pub use view::View;
