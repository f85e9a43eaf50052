/* Tests of json-file.h: comments, duplicate members, trailing text. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "error.h"
#include "json-file.h"

struct file_case {
    const char *name;
    const char *text;
    int result;
    uint32_t line;
    const char *field;
};

static const struct file_case cases[] = {
    {"plain", "{\"a\":1}", CT_OK, 0, ""},
    {"line comment", "// x\n{\"a\":1 // \"b\":2\n}\n// end", CT_OK, 0, ""},
    {"block comment", "/* { */{/**/\"a\":1/* \n // */}", CT_OK, 0, ""},
    {"comment marker in string", "{\"a\":\"//no /* no\"}", CT_OK, 0, ""},
    {"escaped quote in string", "{\"a\":\"\\\"//\"}", CT_OK, 0, ""},
    {"empty", "", CT_ERR_JSON_SYNTAX, 1, ""},
    {"only a comment", "// x\n", CT_ERR_JSON_SYNTAX, 2, ""},
    {"array", "[1]", CT_ERR_JSON_SYNTAX, 1, ""},
    {"unterminated object", "{\n\"a\":1\n", CT_ERR_JSON_SYNTAX, 3, ""},
    {"trailing comma", "{\n\"a\":1,\n}", CT_ERR_JSON_SYNTAX, 2, ""},
    {"trailing text", "{\"a\":1}\n\nx", CT_ERR_JSON_SYNTAX, 3, ""},
    {"two objects", "{\"a\":1}{}", CT_ERR_JSON_SYNTAX, 1, ""},
    {"unterminated comment", "{\n/* x\n\n\"a\":1}", CT_ERR_JSON_SYNTAX, 2, ""},
    {"unterminated string", "{\n\"a:1}", CT_ERR_JSON_SYNTAX, 2, ""},
    {"duplicate member", "{\"a\":1,\n\"b\":{\"a\":1},\n// x\n\"a\":2}",
     CT_ERR_FIELD_DOUBLED, 4, "a"},
    {"nested duplicate member", "{\"x\":[{\"b\":1,\n\"b\":1}]}",
     CT_ERR_FIELD_DOUBLED, 2, "b"},
    {"same name in different objects",
     "{\"x\":[{\"b\":1},{\"b\":1}],\"b\":{}}", CT_OK, 0, ""},
};

static void
test_files(void)
{
    g_autofree char *dir = g_dir_make_tmp("ct-json-XXXXXX", NULL);
    g_autofree char *path = g_build_filename(dir, "f.json", NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct file_case *c = &cases[i];
        struct ct_json_file file;
        struct ct_diags diags;

        g_test_message("%s", c->name);
        g_file_set_contents(path, c->text, -1, NULL);
        ct_diags_init(&diags);
        g_assert_cmpint(ct_json_file_load(&file, path, &diags), ==, c->result);
        g_assert_cmpuint(ct_diags_count(&diags), ==, c->result < 0 ? 1 : 0);
        if (c->result < 0) {
            const struct ct_diag *diag = ct_diags_get(&diags, 0);

            g_assert_cmpint(diag->err, ==, c->result);
            g_assert_cmpstr(diag->file, ==, path);
            g_assert_cmpuint(diag->line, ==, c->line);
            g_assert_cmpstr(diag->field, ==, c->field);
        }
        ct_json_file_free(&file);
        ct_diags_free(&diags);
    }
    g_unlink(path);
    g_rmdir(dir);
}

static void
test_no_file(void)
{
    struct ct_json_file file;
    struct ct_diags diags;

    ct_diags_init(&diags);
    g_assert_cmpint(ct_json_file_load(&file, "/nonexistent/x.json", &diags),
                    ==, CT_ERR_IO);
    ct_json_file_free(&file);
    ct_diags_free(&diags);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json-file/files", test_files);
    g_test_add_func("/json-file/no-file", test_no_file);
    return g_test_run();
}
