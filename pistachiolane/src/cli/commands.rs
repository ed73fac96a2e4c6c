//! Commands for operators; most send one request to the admin address of a node.

use {
    super::{
        Exit,
        admin_client::{AdminClient, AdminError, AdminResponse, ChangeOptions},
        args::{ApplyArgs, CheckArgs, Command, GetArgs, SetArgs, TokenArgs, UnsetArgs},
        output,
    },
    crate::config::new_token_digest,
    hyper::{Method, StatusCode},
    rand::RngExt,
    serde_json::{Value, json},
    std::fs,
};

/// Admin address of a node that runs with default settings.
const DEFAULT_ADMIN_ADDRESS: &str = "127.0.0.1:8083";

/// Environment variable with the access token of the team.
const TOKEN_VARIABLE: &str = "PISTACHIOLANE_TOKEN";

/// Reason for which a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Admin(#[from] AdminError),
    #[error("{file}: {source}")]
    File { file: String, source: std::io::Error },
    #[error("{file}: invalid JSON: {source}")]
    NotJson { file: String, source: serde_json::Error },
}

impl CommandError {
    fn exit(&self) -> Exit {
        match self {
            Self::Admin(AdminError::ResponseLost(_)) => Exit::Unknown,
            Self::Admin(AdminError::Unreachable(_)) => Exit::Failed,
            Self::Admin(AdminError::Address(_)) | Self::File { .. } | Self::NotJson { .. } => {
                Exit::Usage
            }
        }
    }
}

/// Runs an operator command.
pub async fn run(command: Command) -> Exit {
    let result = match command {
        Command::Node(_) | Command::Explain(_) => return Exit::Usage,
        Command::Token(args) => return token(&args),
        Command::Set(args) => set(args).await,
        Command::Unset(args) => unset(args).await,
        Command::Apply(args) => apply(args).await,
        Command::Get(args) => get(args).await,
        Command::Check(args) => check(args).await,
        Command::Tree(args) => query(args.node, "settings", args.json, output::pretty).await,
        Command::Status(args) => query(args.node, "status", args.json, output::status).await,
        Command::Dump(args) => query(args.node, "dump", args.json, output::pretty).await,
    };
    result.unwrap_or_else(|e| {
        eprintln!("{e}");
        e.exit()
    })
}

fn client(node: Option<String>) -> Result<AdminClient, CommandError> {
    Ok(AdminClient::new(&node.unwrap_or_else(|| DEFAULT_ADMIN_ADDRESS.to_owned()))?)
}

async fn query(
    node: Option<String>,
    path: &str,
    as_json: bool,
    format_text: impl Fn(&Value) -> String,
) -> Result<Exit, CommandError> {
    let response = client(node)?.send(Method::GET, path, None, &ChangeOptions::default()).await?;
    print(&response.body, as_json, format_text);
    Ok(if response.status.is_success() { Exit::Done } else { Exit::Failed })
}

async fn get(args: GetArgs) -> Result<Exit, CommandError> {
    let path = format!("settings/{}", args.path);
    let response =
        client(args.node)?.send(Method::GET, &path, None, &ChangeOptions::default()).await?;
    print(&response.body, args.json, |body| match body.get("value") {
        Some(value) => output::pretty(value),
        None => output::pretty(body),
    });
    Ok(if response.status.is_success() { Exit::Done } else { Exit::Refused })
}

async fn set(args: SetArgs) -> Result<Exit, CommandError> {
    let value = serde_json::from_str(&args.value).unwrap_or(Value::String(args.value));
    let options = change_options(args.if_version, args.token);
    change(args.node, &args.path, Method::PUT, Some(&value), &options, args.json).await
}

async fn unset(args: UnsetArgs) -> Result<Exit, CommandError> {
    let options = change_options(args.if_version, args.token);
    change(args.node, &args.path, Method::DELETE, None, &options, args.json).await
}

async fn apply(args: ApplyArgs) -> Result<Exit, CommandError> {
    let document = read_document(&args.file)?;
    let options = change_options(args.if_version, args.token);
    change(args.node, &args.subtree, Method::PUT, Some(&document), &options, args.json).await
}

async fn check(args: CheckArgs) -> Result<Exit, CommandError> {
    let document = read_document(&args.file)?;
    let path = format!("check/{}", args.subtree);
    let options = ChangeOptions::default();
    let response = client(args.node)?.send(Method::POST, &path, Some(&document), &options).await?;
    print(&response.body, args.json, |body| match format_faults(body) {
        text if text.is_empty() => "no faults".to_owned(),
        text => text,
    });
    Ok(if response.status.is_success() { Exit::Done } else { Exit::Refused })
}

fn token(args: &TokenArgs) -> Exit {
    let mut rng = rand::rng();
    let token = format!("{:032x}", rng.random::<u128>());
    let digest = new_token_digest(&token, &mut rng);
    print(&json!({ "token": token, "digest": digest }), args.json, |_| {
        format!("token  {token}\ndigest {digest}")
    });
    Exit::Done
}

fn change_options(if_version: Option<u64>, token: Option<String>) -> ChangeOptions {
    let token = token.or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    ChangeOptions { if_version, token }
}

fn read_document(file: &str) -> Result<Value, CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|source| CommandError::File { file: file.to_owned(), source })?;
    serde_json::from_str(&text)
        .map_err(|source| CommandError::NotJson { file: file.to_owned(), source })
}

async fn change(
    node: Option<String>,
    path: &str,
    method: Method,
    value: Option<&Value>,
    options: &ChangeOptions,
    as_json: bool,
) -> Result<Exit, CommandError> {
    let path = format!("settings/{path}");
    let response = client(node)?.send(method, &path, value, options).await?;
    print(&response.body, as_json, format_change);
    Ok(exit_of_change(&response))
}

fn exit_of_change(response: &AdminResponse) -> Exit {
    match response.status {
        StatusCode::OK => Exit::Done,
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::ACCEPTED => Exit::Unknown,
        _ => Exit::Refused,
    }
}

fn format_change(body: &Value) -> String {
    match body["outcome"].as_str() {
        Some("accepted") => format!("accepted: version {} is in force", body["version"]),
        Some("pending") => format!(
            "pending: version {} is written; not yet acknowledged by {}",
            body["version"], body["regions"]
        ),
        Some("conflict") => format!(
            "conflict: version {} came first; nothing was written. Difference:\n{}",
            body["version"],
            output::diff(&body["current"], &body["wanted"])
        ),
        Some("refused") => format!("refused, nothing was written:\n{}", format_faults(body)),
        Some("forbidden") => {
            "forbidden: the token does not belong to the team; nothing was written".to_owned()
        }
        Some("not-written") => {
            "not written: the platform is unreachable; try again later".to_owned()
        }
        Some("unknown") => format!(
            "unknown: the platform's response was lost; look for change {} with `get --json`",
            body["change"]
        ),
        _ => output::pretty(body),
    }
}

fn format_faults(body: &Value) -> String {
    let faults = body["faults"].as_array();
    let line = |fault: &Value| {
        let field = |name: &str| fault[name].as_str().unwrap_or_default().to_owned();
        format!("{}: {}", field("path"), field("reason"))
    };
    faults.map(|list| list.iter().map(line).collect::<Vec<_>>().join("\n")).unwrap_or_default()
}

fn print(body: &Value, as_json: bool, format_text: impl Fn(&Value) -> String) {
    if as_json {
        println!("{body}");
    } else {
        println!("{}", format_text(body).trim_end());
    }
}
