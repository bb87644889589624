# Completion of mulberryyoke for bash.

_mulberryyoke() {
    local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
    local word skip= words=()
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        if [[ -n $skip ]]; then
            skip=
            continue
        fi
        case $word in
        --router | --key-file | --timeout | --command) skip=1 ;;
        -*) ;;
        *) words+=("$word") ;;
        esac
    done
    case $prev in
    --key-file)
        COMPREPLY=($(compgen -f -- "$cur"))
        return
        ;;
    --class)
        COMPREPLY=($(compgen -W "urgent normal deferrable" -- "$cur"))
        return
        ;;
    --kind)
        COMPREPLY=($(compgen -W "model service" -- "$cur"))
        return
        ;;
    --role)
        COMPREPLY=($(compgen -W "gateway router sidecar" -- "$cur"))
        return
        ;;
    esac
    local choices=
    case "${words[0]-} ${words[1]-}" in
    "customer add") choices="--help --share --class --key --queue --wait --json" ;;
    "customer set") choices="--help --share --class --key --drop-key --queue --at --wait --json" ;;
    "customer remove") choices="--help --at --wait --json" ;;
    "customer show") choices="--help --json" ;;
    "customer list") choices="--help --json" ;;
    "customer "*) choices="add set remove show list --help" ;;
    "pool add") choices="--help --kind --route --wait --json" ;;
    "pool set") choices="--help --route --at --wait --json" ;;
    "pool remove") choices="--help --at --wait --json" ;;
    "pool list") choices="--help --json" ;;
    "pool "*) choices="add set remove list --help" ;;
    "server add") choices="--help --pool --region --zone --control --data --slots --wait --json" ;;
    "server drain") choices="--help --at --wait --json" ;;
    "server resume") choices="--help --at --wait --json" ;;
    "server remove") choices="--help --at --wait --json" ;;
    "server list") choices="--help --pool --all --json" ;;
    "server "*) choices="add drain resume remove list --help" ;;
    "status "*) choices="--help --behind --json" ;;
    "waiting "*) choices="--help --customer --server --request --limit --json" ;;
    "config history") choices="--help --key --limit --json" ;;
    "config show") choices="--help --key --json" ;;
    "config "*) choices="history show --help" ;;
    "check "*) choices="--help --role" ;;
    *) choices="customer pool server status waiting config check --help --version --router --key-file --timeout --command" ;;
    esac
    if [[ ${words[0]-} == check && $cur != -* ]]; then
        COMPREPLY=($(compgen -f -- "$cur"))
        return
    fi
    COMPREPLY=($(compgen -W "$choices" -- "$cur"))
}
complete -F _mulberryyoke mulberryyoke

_mulberryyoked() {
    local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
    case $prev in
    --settings)
        COMPREPLY=($(compgen -f -- "$cur"))
        return
        ;;
    --role)
        COMPREPLY=($(compgen -W "gateway router sidecar" -- "$cur"))
        return
        ;;
    esac
    local choices=
    case ${COMP_WORDS[1]-} in
    router) choices="--help --settings" ;;
    gateway) choices="--help --settings" ;;
    sidecar) choices="--help --settings" ;;
    check) choices="--help --role" ;;
    *) choices="gateway router sidecar check --help --version" ;;
    esac
    if [[ ${COMP_WORDS[1]-} == check && $cur != -* ]]; then
        COMPREPLY=($(compgen -f -- "$cur"))
        return
    fi
    COMPREPLY=($(compgen -W "$choices" -- "$cur"))
}
complete -F _mulberryyoked mulberryyoked
