//! Whether a copy of a request is the one by which a part of its prompt is tried.

/// Whether a copy of a request is the one in the fleet by which a part of its prompt is tried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Trial {
    #[default]
    None,
    /// It was admitted as such and has not run since. Servers that are unreachable or reject it
    /// don't use up the admission.
    Admitted,
    /// It may have run.
    Run,
}

impl Trial {
    /// Returns the state of a copy that has been admitted.
    pub(super) const fn new(is_trial: bool) -> Self {
        if is_trial { Self::Admitted } else { Self::None }
    }

    /// Returns the state after a server may have run the request.
    pub(super) const fn after_run(self) -> Self {
        match self {
            Self::None => Self::None,
            Self::Admitted | Self::Run => Self::Run,
        }
    }
}
