/// One wrong setting.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{field}: {fault}. {}", fault.remedy())]
pub struct SettingError {
    /// The field, with its path.
    pub field: String,
    /// What is wrong.
    pub fault: SettingFault,
}

impl SettingError {
    pub(super) fn new(field: impl Into<String>, fault: SettingFault) -> Self {
        Self {
            field: field.into(),
            fault,
        }
    }
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum SettingFault {
    /// The file cannot be read.
    #[display("the file {path} cannot be read: {cause}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        cause: String,
    },
    /// The file is too large.
    #[display("the file is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// Not JSON.
    #[display("not JSON: {_0}")]
    NotJson(String),
    /// A field that does not exist.
    #[display("there is no such field")]
    UnknownField,
    /// A field that must be there.
    #[display("the field is missing")]
    Missing,
    /// A value of the wrong type.
    #[display("wrong value: {_0}")]
    BadValue(String),
    /// An empty name, or one with blanks or signs.
    #[display("\"{_0}\" is not a name")]
    BadName(String),
    /// Not `IP:port`.
    #[display("\"{_0}\" is not an address")]
    BadAddress(String),
    /// A name given twice.
    #[display("the name {_0} is used twice")]
    DuplicateName(String),
    /// An address given twice.
    #[display("the address {address} is used by {other} as well")]
    DuplicateAddress {
        /// The address.
        address: String,
        /// The other field.
        other: String,
    },
    /// This entry instance is not among the members.
    #[display("this entry instance, {_0}, is not among the members")]
    NotAMember(String),
    /// This entry instance's own line says otherwise.
    #[display("the member {entry} says {theirs} where this file says {ours}")]
    MemberDiffers {
        /// This entry instance.
        entry: String,
        /// In `members`.
        theirs: String,
        /// In the field itself.
        ours: String,
    },
    /// No member is in this zone.
    #[display("no entry instance is in the availability zone {_0}")]
    ZoneWithoutEntry(String),
    /// A voter without a data folder.
    #[display("this entry instance votes but has no data folder")]
    VoterWithoutFolder,
    /// A data folder without a vote.
    #[display("this entry instance has a data folder but no vote")]
    FolderWithoutVote,
    /// An even number of voters, too few or too many.
    #[display("{voters} of {members} entry instances vote")]
    Voters {
        /// How many vote.
        voters: usize,
        /// How many there are.
        members: usize,
    },
    /// One availability zone has a majority of the voters.
    #[display("the availability zone {_0} has a majority of the voters")]
    VotersInOneZone(String),
    /// A number out of its range.
    #[display("{value} is out of range: it must be {least} to {most}")]
    OutOfRange {
        /// The number.
        value: u64,
        /// The smallest.
        least: u64,
        /// The largest.
        most: u64,
    },
    /// A time shorter than what has to happen in it.
    #[display("{value} is shorter than {times} times {other}, which is {least}")]
    TooShort {
        /// The number.
        value: u64,
        /// The smallest that fits.
        least: u64,
        /// How many of the other must fit.
        times: u64,
        /// The other field.
        other: String,
    },
    /// A key that is empty or too short.
    #[display("the key has {bytes} bytes and needs {least}")]
    ShortKey {
        /// Its size.
        bytes: usize,
        /// The least.
        least: usize,
    },
    /// A key file that others can read.
    #[display("everyone on the machine can read the file {_0}")]
    WorldReadable(String),
    /// A keys file without any key.
    #[display("the file names no operator")]
    NoOperators,
    /// Two operators with one token.
    #[display("{_0} and another operator have the same token")]
    DuplicateToken(String),
}

impl SettingFault {
    /// What to do about it.
    pub fn remedy(&self) -> String {
        match self {
            Self::Unreadable { .. } => {
                "Check the path; it is taken from the settings file's folder".into()
            }
            Self::TooLarge { .. } => "Check the path".into(),
            Self::NotJson(_) => "Mend the file at that place".into(),
            Self::UnknownField => "Check the spelling or remove it".into(),
            Self::Missing => "Add it".into(),
            Self::BadValue(_) => "Write a value of the type that it asks for".into(),
            Self::BadName(_) => "Use letters, digits, dots, dashes and underscores".into(),
            Self::BadAddress(_) => "Write IP:port, such as 127.0.0.1:7001".into(),
            Self::DuplicateName(_) => "Give each entry instance its own name".into(),
            Self::DuplicateAddress { .. } => "Give each its own port".into(),
            Self::NotAMember(_) => "List every entry instance in members, this one too".into(),
            Self::MemberDiffers { .. } => "Make the two equal".into(),
            Self::ZoneWithoutEntry(_) => "Check the spelling of the zone".into(),
            Self::VoterWithoutFolder => {
                "Set data_folder, or set voter to false in every file".into()
            }
            Self::FolderWithoutVote => {
                "Remove data_folder, or set voter to true in every file".into()
            }
            Self::Voters { .. } => "Let 3 or 5 vote; a single entry instance votes alone".into(),
            Self::VotersInOneZone(_) => {
                "Spread the voters, so that the loss of any one zone leaves a majority".into()
            }
            Self::OutOfRange { least, most, .. } => format!("Write {least} to {most}"),
            Self::TooShort { least, .. } => format!("Write at least {least}"),
            Self::ShortKey { least, .. } => {
                format!(
                    "Write {least} random bytes or more, the same on every entry instance that shares it"
                )
            }
            Self::WorldReadable(_) => "Take the right away: chmod o-rwx".into(),
            Self::NoOperators => "Write an object of names and tokens".into(),
            Self::DuplicateToken(_) => "Give each operator an own token".into(),
        }
    }
}
