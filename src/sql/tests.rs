//! Tests of how statements are scanned for their data set and for changes.

use super::{data_set, is_read_only};
use rstest::rstest;

#[rstest]
#[case::plain("SELECT a FROM sales_17.orders", Some(17))]
#[case::string_and_line_comment("SELECT 'x_1.y' FROM a_2.b -- c_3.d", Some(2))]
#[case::nested_comment(
    "/* c_9.d /* e_8.f */ */ INSERT INTO lic_4.log SELECT * FROM staging.rows",
    Some(4)
)]
#[case::doubled_quote("SELECT 'it''s a_1.b' FROM \"lic_5\".\"log\"", Some(5))]
#[case::alias_before_table("SELECT t_9.a FROM lic_6.log t_9", Some(6))]
#[case::shared_schema("SELECT * FROM staging.rows_7", None)]
#[case::column_reference("SELECT a.b_8 FROM c", None)]
#[case::unterminated_string("SELECT 'a_1.b", None)]
#[case::name_after_number("SELECT 1_2.a FROM b_3.c", Some(3))]
#[case::empty_statement("", None)]
fn data_set_is_read_from_the_schema_name(#[case] sql: &str, #[case] number: Option<u32>) {
    assert_eq!(data_set(sql.as_bytes()), number);
}

#[rstest]
#[case(" -- a note\n select 1", true)]
#[case("insert into a select 1", false)]
#[case("with a as (select 1) select * from a", true)]
#[case("WITH a AS (SELECT 'delete') INSERT INTO b SELECT * FROM a", false)]
#[case("", false)]
fn statement_that_changes_no_rows_is_read_only(#[case] sql: &str, #[case] read_only: bool) {
    assert_eq!(is_read_only(sql.as_bytes()), read_only);
}
