//! Help texts.

/// Help text of the program.
pub const PROGRAM: &str = "\
Checks and changes the declaration of a jujubeferry system

Usage: jujubeferry VERB [OPTIONS]

Verbs:
  check FILE                 list every fault of a declaration, entries without effect and limits that
                             contradict each other; needs no server
  diff FILE                  show what FILE would change against what is in force
  apply FILE --reason TEXT   make FILE the declaration in force
  revert N --reason TEXT     undo the change that made revision N
  export                     print the declaration in force
  status                     show every keeper's role, term and log
  audit [--from N]           print the audit trail, from revision N
  blocked                    list the parts of prompts that gates refuse because endpoints crashed
  unblock PART --reason TEXT accept requests with PART again
  explain ID [FILE…]         show what happened to request ID, from log files or standard input
  zone evacuate NAME --reason TEXT
                             send nothing more to the endpoints of availability zone NAME
  zone return NAME --reason TEXT
                             send requests to the zone's endpoints again
  zone status                list the zones that are or were evacuated
  keeper add NAME ADDRESS    add a keeper as a learner; ADDRESS is IP:PORT of its link
  keeper promote NAME        make a learner a voter once it has caught up
  keeper remove NAME         remove a keeper; --force if that endangers the quorum

Options:
  --keepers ADDR,…     HTTP addresses of the keepers, IP:PORT; or JUJUBEFERRY_KEEPERS
  --token-file FILE    file with the operator's token; or JUJUBEFERRY_TOKEN_FILE
  --json               print JSON for programs
  -h, --help           print this text
  -V, --version        print the version

Options of check:
  --against FILE       also show what differs from another file
  --in-force           also show what differs from the declaration in force; needs keepers

Options of apply, revert, unblock and zone:
  --reason TEXT        why, for the audit trail; of unblock and zone, for the list and the logs
  --author NAME        who, if operators have no tokens; default $USER
  --base N             apply only: revision that FILE is based on; default: the one in force now
  --change UUID        apply and revert only: change id of an earlier attempt, to resend it safely

Exit codes:
  0 done   1 failed   2 wrong usage   3 invalid document   4 conflict
  5 no quorum, or no keeper reachable

Why a request failed, from the logs of all gates and keepers:
  jujubeferry explain r-17 gate-*.log keeper-*.log

A first change:
  jujubeferry export --keepers 127.0.0.1:7411 > declaration.ini
  $EDITOR declaration.ini
  jujubeferry check declaration.ini
  jujubeferry diff  declaration.ini --keepers 127.0.0.1:7411
  jujubeferry apply declaration.ini --keepers 127.0.0.1:7411 --reason 'more dealers'";

/// The program's name and version.
pub const VERSION: &str = concat!("jujubeferry ", env!("CARGO_PKG_VERSION"));
