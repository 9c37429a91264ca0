/* Guards against session tokens that are accepted although they are forged, damaged or signed with
 * an unknown key, and against lost entries. */
#include "flamingospring/session_token.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

enum
{
	RANDOM_ROUNDS = 20000,
	RANDOM_SEED = 7411,
};

static void
service_set_key (struct schema_service *service, uint32_t at, uint32_t id, uint8_t fill)
{
	service->keys[at].id = id;
	memset (service->keys[at].secret, fill, sizeof service->keys[at].secret);
	if (service->key_count <= at)
		service->key_count = at + 1;
}

static struct session_token
token_sample (uint32_t count)
{
	struct session_token token = { .id = 0x1122334455667788u };

	for (uint32_t i = 0; i < count; i++)
		g_assert_cmpint (session_token_update (&token, 1000 + i,
		                                       (struct log_position){ i + 1, UINT64_MAX - i },
		                                       UINT64_MAX),
		                 ==, 0);
	return token;
}

static void
test_round_trip (void)
{
	struct schema_service service = { 0 };
	char text[SESSION_TOKEN_MAX_BYTES];

	service_set_key (&service, 0, 5, 1);
	for (uint32_t count = 0; count <= SESSION_TOKEN_MAX_ENTRIES; count++)
	{
		struct session_token token = token_sample (count);
		struct session_token decoded;
		int length = session_token_encode (&token, &service, text, sizeof text);

		g_assert_cmpint (length, >, 0);
		g_assert_cmpuint (strlen (text), ==, length);
		g_assert_cmpint (session_token_decode (&decoded, &service, text), ==, 0);
		g_assert_cmpmem (&token, sizeof token, &decoded, sizeof decoded);
	}
}

static void
test_update (void)
{
	struct session_token token = token_sample (SESSION_TOKEN_MAX_ENTRIES);
	struct log_position high = { 90, 1 };

	g_assert_cmpint (session_token_update (&token, 1, high, 1), ==, -ENOSPC);
	g_assert_cmpint (session_token_update (&token, 1003, high, 1), ==, 0);
	g_assert_cmpint (session_token_update (&token, 1003, (struct log_position){ 89, 9 }, 1), ==, 0);
	g_assert_cmpint (log_position_compare (session_token_find (&token, 1003), high), ==, 0);
	g_assert_cmpint (
		log_position_compare (session_token_find (&token, 1), (struct log_position){ 0, 0 }), ==,
		0);
}

/* A token signed with an older key is valid only as long as the key is listed. */
static void
test_key_rotation (void)
{
	struct schema_service old_keys = { 0 };
	struct schema_service both_keys = { 0 };
	struct schema_service new_keys = { 0 };
	struct session_token token = token_sample (3);
	struct session_token decoded;
	char text[SESSION_TOKEN_MAX_BYTES];

	service_set_key (&old_keys, 0, 1, 11);
	service_set_key (&both_keys, 0, 2, 22);
	service_set_key (&both_keys, 1, 1, 11);
	service_set_key (&new_keys, 0, 2, 22);
	g_assert_cmpint (session_token_encode (&token, &old_keys, text, sizeof text), >, 0);
	g_assert_cmpint (session_token_decode (&decoded, &both_keys, text), ==, 0);
	g_assert_cmpint (session_token_decode (&decoded, &new_keys, text), ==, -EKEYREJECTED);
	/* The same key id with another secret. */
	service_set_key (&new_keys, 0, 1, 22);
	g_assert_cmpint (session_token_decode (&decoded, &new_keys, text), ==, -EKEYREJECTED);
	new_keys.key_count = 0;
	g_assert_cmpint (session_token_decode (&decoded, &new_keys, text), ==, -EKEYREJECTED);
	g_assert_cmpint (session_token_encode (&token, &new_keys, text, sizeof text), ==, -ENOKEY);
}

/* Every changed character and every truncation is rejected. */
static void
test_forged (void)
{
	struct schema_service service = { 0 };
	struct session_token token = token_sample (2);
	struct session_token decoded;
	char text[SESSION_TOKEN_MAX_BYTES];
	char changed[SESSION_TOKEN_MAX_BYTES];

	service_set_key (&service, 0, 5, 1);
	g_assert_cmpint (session_token_encode (&token, &service, text, sizeof text), >, 0);
	for (size_t i = 0; i < strlen (text); i++)
	{
		g_strlcpy (changed, text, sizeof changed);
		changed[i] = text[i] == 'A' ? 'B' : 'A';
		g_assert_cmpint (session_token_decode (&decoded, &service, changed), <, 0);
		g_strlcpy (changed, text, sizeof changed);
		changed[i] = 0;
		g_assert_cmpint (session_token_decode (&decoded, &service, changed), <, 0);
	}
	g_strlcpy (changed, text, sizeof changed);
	g_strlcat (changed, "A", sizeof changed);
	g_assert_cmpint (session_token_decode (&decoded, &service, changed), <, 0);
}

static void
test_random (void)
{
	struct schema_service service = { 0 };
	struct session_token decoded;
	GRand *random = g_rand_new_with_seed (RANDOM_SEED);
	static const char characters[] = "ABCDwxyz0189-_=+/ \x80";

	service_set_key (&service, 0, 5, 1);
	for (unsigned round = 0; round < RANDOM_ROUNDS; round++)
	{
		char text[SESSION_TOKEN_MAX_BYTES * 2];
		size_t length = (size_t) g_rand_int_range (random, 0, sizeof text - 1);
		bool is_valid_alphabet = round % 2;

		for (size_t i = 0; i < length; i++)
			text[i] = characters[g_rand_int_range (random, 0, is_valid_alphabet ? 14 : 19)];
		text[length] = 0;
		g_assert_cmpint (session_token_decode (&decoded, &service, text), <, 0);
	}
	g_rand_free (random);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/session_token/round_trip", test_round_trip);
	g_test_add_func ("/session_token/update", test_update);
	g_test_add_func ("/session_token/key_rotation", test_key_rotation);
	g_test_add_func ("/session_token/forged", test_forged);
	g_test_add_func ("/session_token/random", test_random);
	return g_test_run ();
}
