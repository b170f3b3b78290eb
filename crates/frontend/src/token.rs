//! Session tokens: the floors of a session (the least term and position that its reads must see, by
//! database), signed for its workspace.

use goldcrest_decide::session::ChangeError;
use goldcrest_types::{Mark, Name};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use smallvec::SmallVec;

/// The length of a token's truncated HMAC-SHA256 signature, in bytes.
const SIGNATURE_BYTES: usize = 16;

/// The floors in one token, by database name.
pub(crate) type Floors = SmallVec<[(Name, Mark); 2]>;

/// Signs and verifies tokens with the secret that all hosts share.
#[derive(Debug, Clone)]
pub struct Signer {
    secret: Name,
}

impl Signer {
    /// Creates a signer with the hosts' shared secret.
    #[must_use]
    pub fn new(secret: Name) -> Self {
        Self { secret }
    }

    /// Builds the token of a workspace's session: `database=term:position` pairs and a signature.
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

    /// Verifies a token that was signed for `workspace` and returns its floors.
    ///
    /// # Errors
    ///
    /// [`ChangeError::InvalidToken`] when the token is malformed, was altered, or belongs to
    /// another workspace.
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
            .map(|p| parse_pair(p).ok_or(ChangeError::InvalidToken))
            .collect()
    }

    /// Starts the signature of a token: keyed with the secret, over the workspace and the token's
    /// text.
    fn mac(&self, workspace: &str, text: &str) -> Hmac<Sha256> {
        // The length prefix makes the signed bytes unambiguous: no two pairs of workspace and text
        // share them.
        let length = workspace.len() as u64;
        let keyed: Hmac<Sha256> = Mac::new_from_slice(self.secret.as_bytes())
            .unwrap_or_else(|_| Mac::new(&hmac::digest::Key::<Hmac<Sha256>>::default()));
        keyed
            .chain_update(length.to_be_bytes())
            .chain_update(workspace.as_bytes())
            .chain_update(text.as_bytes())
    }
}

fn parse_pair(text: &str) -> Option<(Name, Mark)> {
    let (name, mark) = text.rsplit_once('=')?;
    let (term, position) = mark.split_once(':')?;
    let mark = Mark::new(term.parse().ok()?, position.parse().ok()?);
    Some((Name::from(name), mark))
}
