//! Configurations: queues, pools and workspaces under one version, and their validation.
//!
//! Plain data that operators submit and the replicated state holds. Nothing here calls
//! another part of control; every other part reads it.

mod access;
mod configuration;
mod configuration_fault;
mod configuration_parts;
mod key_digest;
mod queue;
mod quota;
mod workspace;

pub use access::{Access, Credentials, CredentialsFault};
pub use configuration::{CONFIGURATION_LIMIT_BYTES, Configuration};
pub use configuration_fault::ConfigurationFault;
pub use configuration_parts::{ConfigurationPart, ConfigurationParts};
pub use key_digest::KeyDigest;
pub use queue::{Advice, Queue};
pub use quota::{Quota, ResourceTotals};
pub use workspace::Workspace;
