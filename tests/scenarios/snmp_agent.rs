//! The SNMP agent: which requests it answers, and with which values.

use crate::scene::run_script;
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

#[rstest]
#[case::get_returns_the_counter(
    "
    c1 send 1 no-such-class
    c1 expect 1 NoMethodError
    s send get $.1.0 $.22.0 1.3.6.1.2.1.1.5.0
    s expect $.1.0=0 $.22.0=1 1.3.6.1.2.1.1.5.0=n1
    s send get $.1.1 $.999.0
    s expect $.1.1=NoSuchInstance $.999.0=NoSuchObject
"
)]
#[case::get_next_walks_to_the_end_of_the_view(
    "
    s send next 1.3.6.1.2.1.1.5.0
    s expect $.1.0=0
    s send next $.1
    s expect $.1.0=0
    s send next $.1.0
    s expect $.2.0=0
    s send next $.41.0
    s expect $.42.0=0
    s send next $.50.0
    s expect $.51.0=0
    s send next $.78.0
    s expect $.100.1.2.1=seat-check
    s send next $.100.1.5.3
    s expect $.100.1.5.3=EndOfMibView
"
)]
#[case::get_bulk_returns_non_repeaters_and_repetitions(
    "
    s send bulk 1 2 $ $.3
    s expect $.1.0=0 $.3.0=0 $.4.0=0
    s send bulk 0 9 $.100.1.5.1
    s expect $.100.1.5.2=0 $.100.1.5.3=0 $.100.1.5.3=EndOfMibView
    s send bulk 0 4000000000 $.100.1.5.2 $.100.1.5.3
    s expect $.100.1.5.3=0 $.100.1.5.3=EndOfMibView $.100.1.5.3=EndOfMibView $.100.1.5.3=EndOfMibView
"
)]
#[case::set_requests_are_rejected(
    "
    s send set $.1.0
    s expect error 17
"
)]
#[case::malformed_requests_other_communities_and_other_versions_get_no_answer(
    "
    s send get@other $.1.0
    wait snmp_dropped=1
    s send raw 302902010004067075626c6963a01c
    wait snmp_dropped=2
    s send raw ff
    wait snmp_dropped=3
    s send v1 $.1.0
    wait snmp_dropped=4
    s send get $.35.0
    s expect $.35.0=4
"
)]
fn snmp_agent(#[case] script: &str) {
    run_script(1, EngineProtocol::Lines, script);
}
