//! Session tokens: the floors of a session, signed for its workspace.

use goldcrest_decide::session::ChangeError;
use goldcrest_types::{Mark, Name};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use smallvec::SmallVec;

/// The length of a token's signature, in bytes.
const SIGNATURE_BYTES: usize = 16;

/// The floors in one token.
pub(crate) type Floors = SmallVec<[(Name, Mark); 2]>;

/// Signs and checks tokens with the fleet's secret.
#[derive(Debug, Clone)]
pub struct Signer {
    secret: Name,
}

impl Signer {
    /// A signer with the secret that all hosts share.
    #[must_use]
    pub fn new(secret: Name) -> Self {
        Self { secret }
    }

    /// The token of a workspace's session: `database=term:position` pairs and a signature.
    #[must_use]
    pub fn sign(&self, workspace: &str, floors: &[(Name, Mark)]) -> String {
        let pairs: Vec<String> = floors
            .iter()
            .map(|(name, m)| format!("{name}={}:{}", m.term.0, m.position.0))
            .collect();
        let text = pairs.join(",");
        let mac = self.mac(workspace, &text).finalize().into_bytes();
        format!("{text}/{}", hex::encode(&mac[..SIGNATURE_BYTES]))
    }

    /// Reads a token that was signed for `workspace`.
    ///
    /// # Errors
    ///
    /// [`ChangeError::InvalidToken`] when the token was changed, or belongs to another workspace.
    pub fn read(&self, workspace: &str, token: &str) -> Result<Floors, ChangeError> {
        let (text, signature) = token.rsplit_once('/').ok_or(ChangeError::InvalidToken)?;
        let signature = hex::decode(signature).map_err(|_| ChangeError::InvalidToken)?;
        if signature.len() != SIGNATURE_BYTES {
            return Err(ChangeError::InvalidToken);
        }
        self.mac(workspace, text)
            .verify_truncated_left(&signature)
            .map_err(|_| ChangeError::InvalidToken)?;
        let pairs = text.split(',').filter(|p| !p.is_empty());
        pairs
            .map(|p| pair(p).ok_or(ChangeError::InvalidToken))
            .collect()
    }

    fn mac(&self, workspace: &str, text: &str) -> Hmac<Sha256> {
        // The length goes first, so that no two pairs of workspace and text are signed alike.
        let length = workspace.len() as u64;
        let keyed: Hmac<Sha256> = Mac::new_from_slice(self.secret.as_bytes())
            .unwrap_or_else(|_| Mac::new(&hmac::digest::Key::<Hmac<Sha256>>::default()));
        keyed
            .chain_update(length.to_be_bytes())
            .chain_update(workspace.as_bytes())
            .chain_update(text.as_bytes())
    }
}

fn pair(text: &str) -> Option<(Name, Mark)> {
    let (name, mark) = text.rsplit_once('=')?;
    let (term, position) = mark.split_once(':')?;
    let mark = Mark::new(term.parse().ok()?, position.parse().ok()?);
    Some((Name::from(name), mark))
}
