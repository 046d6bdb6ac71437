package classify

import "testing"

func TestKinds(t *testing.T) {
	tests := []struct {
		sql  string
		want Kind
	}{
		{"", Empty},
		{" ; -- nothing\n", Empty},
		{"select 1", Read},
		{"select sum(cents) from allowance where member = $1", Read},
		{"select * from a where x in (1, 2) and (y or z)", Read},
		{"select id::varchar(10), 'for update' from a", Read},
		{"select * from a for update", Write},
		{"select * from a for no key update", Write},
		{"select * from a for share", Write},
		{"select * into b from a", Write},
		{"select nextval('s')", Write},
		// A function that isn't known to have no effects.
		{"select pay_member(7)", Write},
		{`select "Pay"(7)`, Write},
		{"select pg_advisory_lock(1)", Pin},
		{"with x as (insert into a values (1) returning id) select * from x", Write},
		{"with x as (select 1) select * from x", Read},
		// t(n) is classified as a call of an unknown function.
		{"with recursive t(n) as (values (1) union all select n+1 from t) select n from t", Write},
		{"values (1), (2)", Read},
		{"explain select 1", Read},
		{"explain analyze delete from a", Write},
		{"insert into a values (1)", Write},
		{"begin", Begin},
		{"START TRANSACTION READ ONLY", Begin},
		{"commit", Commit},
		{"end", Commit},
		{"rollback", Rollback},
		{"rollback to savepoint a", Savepoint},
		{"set search_path to a, b", Set},
		{"set session characteristics as transaction read only", Pin},
		{"create temp table a (b int)", Pin},
		{"create table a (b int)", Write},
		{"copy a from stdin", CopyIn},
		{"copy (select 1 from a) to stdout", Write},
		{"select 1; select 2", Read},
		{"select 1; delete from a", Write},
		{"set search_path to a; select 1", Pin},
		{"begin; insert into a values (1); commit", Write},
		{"/* note */ -- more\n select 1", Read},
		{"select $$ ; delete from a $$", Read},
		{"select E'it\\'s; delete'", Read},
		{"vacuum", Write},
		{"listen a", Pin},
	}
	for _, test := range tests {
		if got := SQL(test.sql).Kind; got != test.want {
			t.Errorf("SQL(%q).Kind = %v, want %v", test.sql, got, test.want)
		}
	}
}

func TestSettings(t *testing.T) {
	tests := []struct {
		sql            string
		want           Setting
		isProxySetting bool
	}{
		{"SET burdockwood.max_age = '5s'", Setting{"burdockwood.max_age", "5s"}, true},
		{"set burdockwood.label.desk to 'payroll'", Setting{"burdockwood.label.desk", "payroll"}, true},
		{"reset burdockwood.mark", Setting{"burdockwood.mark", ""}, true},
		{"set timezone = 'UTC';", Setting{"timezone", "UTC"}, false},
		{"SET extra_float_digits = 3", Setting{"extra_float_digits", "3"}, false},
	}
	for _, test := range tests {
		got := SQL(test.sql)
		if got.Setting != test.want || got.IsProxySetting != test.isProxySetting || got.Kind != Set {
			t.Errorf("SQL(%q) = %+v, want %+v, proxy setting %v", test.sql, got, test.want, test.isProxySetting)
		}
	}
}

func TestHints(t *testing.T) {
	got := SQL("/* burdockwood: max-age=5s, request-id=abc */ select 1").Hints
	want := []Setting{{"burdockwood.max_age", "5s"}, {"burdockwood.request_id", "abc"}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("hints = %v, want %v", got, want)
	}
}

func FuzzSQL(f *testing.F) {
	for _, seed := range []string{"select 1", "/* burdockwood: */", "$a$ $a", "e'\\", "set \"", "copy ((", "/*"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) { SQL(sql) })
}
