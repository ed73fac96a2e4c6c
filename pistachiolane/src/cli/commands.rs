//! Commands of operators, each a request to a node's admin address.

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

/// Admin address of a node started with default settings.
const DEFAULT_NODE: &str = "127.0.0.1:8083";

/// Variable with the team's token.
const TOKEN_VARIABLE: &str = "PISTACHIOLANE_TOKEN";

/// A command that could not be carried out.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Admin(#[from] AdminError),
    #[error("{file}: {source}")]
    File { file: String, source: std::io::Error },
    #[error("{file}: not JSON: {source}")]
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

/// Runs one operator command.
pub async fn run(command: Command) -> Exit {
    let done = match command {
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
    done.unwrap_or_else(|e| {
        eprintln!("{e}");
        e.exit()
    })
}

fn client(node: Option<String>) -> Result<AdminClient, CommandError> {
    Ok(AdminClient::new(&node.unwrap_or_else(|| DEFAULT_NODE.to_owned()))?)
}

async fn query(
    node: Option<String>,
    path: &str,
    as_json: bool,
    show: impl Fn(&Value) -> String,
) -> Result<Exit, CommandError> {
    let answer = client(node)?.send(Method::GET, path, None, &ChangeOptions::default()).await?;
    print(&answer.body, as_json, show);
    Ok(if answer.status.is_success() { Exit::Done } else { Exit::Failed })
}

async fn get(args: GetArgs) -> Result<Exit, CommandError> {
    let path = format!("settings/{}", args.path);
    let answer =
        client(args.node)?.send(Method::GET, &path, None, &ChangeOptions::default()).await?;
    print(&answer.body, args.json, |body| match body.get("value") {
        Some(value) => output::pretty(value),
        None => output::pretty(body),
    });
    Ok(if answer.status.is_success() { Exit::Done } else { Exit::Refused })
}

async fn set(args: SetArgs) -> Result<Exit, CommandError> {
    let value = serde_json::from_str(&args.value).unwrap_or(Value::String(args.value));
    let options = options(args.if_version, args.token);
    change(args.node, &args.path, Method::PUT, Some(&value), &options, args.json).await
}

async fn unset(args: UnsetArgs) -> Result<Exit, CommandError> {
    let options = options(args.if_version, args.token);
    change(args.node, &args.path, Method::DELETE, None, &options, args.json).await
}

async fn apply(args: ApplyArgs) -> Result<Exit, CommandError> {
    let document = read(&args.file)?;
    let options = options(args.if_version, args.token);
    change(args.node, &args.subtree, Method::PUT, Some(&document), &options, args.json).await
}

async fn check(args: CheckArgs) -> Result<Exit, CommandError> {
    let document = read(&args.file)?;
    let path = format!("check/{}", args.subtree);
    let options = ChangeOptions::default();
    let answer = client(args.node)?.send(Method::POST, &path, Some(&document), &options).await?;
    print(&answer.body, args.json, |body| match faults(body) {
        text if text.is_empty() => "no faults".to_owned(),
        text => text,
    });
    Ok(if answer.status.is_success() { Exit::Done } else { Exit::Refused })
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

fn options(if_version: Option<u64>, token: Option<String>) -> ChangeOptions {
    let token = token.or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    ChangeOptions { if_version, token }
}

fn read(file: &str) -> Result<Value, CommandError> {
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
    let answer = client(node)?.send(method, &path, value, options).await?;
    print(&answer.body, as_json, change_text);
    Ok(change_exit(&answer))
}

fn change_exit(answer: &AdminResponse) -> Exit {
    match answer.status {
        StatusCode::OK => Exit::Done,
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::ACCEPTED => Exit::Unknown,
        _ => Exit::Refused,
    }
}

fn change_text(body: &Value) -> String {
    match body["outcome"].as_str() {
        Some("accepted") => format!("accepted: version {} is in force", body["version"]),
        Some("pending") => format!(
            "pending: version {} is written; not yet acknowledged by {}",
            body["version"], body["regions"]
        ),
        Some("conflict") => format!(
            "conflict: version {} came first; nothing was written. The difference:\n{}",
            body["version"],
            output::diff(&body["current"], &body["wanted"])
        ),
        Some("refused") => format!("refused, nothing was written:\n{}", faults(body)),
        Some("forbidden") => {
            "forbidden: the token is not the team's; nothing was written".to_owned()
        }
        Some("not-written") => {
            "not written: the platform cannot be asked; try again later".to_owned()
        }
        Some("unknown") => format!(
            "unknown: the platform's answer was lost. Look for change {} with `get --json`",
            body["change"]
        ),
        _ => output::pretty(body),
    }
}

fn faults(body: &Value) -> String {
    let faults = body["faults"].as_array();
    let line = |fault: &Value| {
        let part = |name: &str| fault[name].as_str().unwrap_or_default().to_owned();
        format!("{}: {}", part("path"), part("reason"))
    };
    faults.map(|list| list.iter().map(line).collect::<Vec<_>>().join("\n")).unwrap_or_default()
}

fn print(body: &Value, as_json: bool, show: impl Fn(&Value) -> String) {
    if as_json {
        println!("{body}");
    } else {
        println!("{}", show(body).trim_end());
    }
}
