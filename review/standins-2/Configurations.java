/** The operator's configurations of a small deployment. */
final class Configurations {
    private Configurations() {}

    /** Returns a configuration with routes for repeatable orders, repeatable reads of keys with one owner, at-most-once filings and at-most-once uploads. */
    static String small() {
        return "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_ms\","
                + "\"target_latency_ms\",\"priority\",\"split\",\"max_attempts\",\"service\"],\"rows\":["
                + "[\"lookup\",\"h.example\",\"/o/\",\"safe\",2500,400,2,null,2,\"orders\"],"
                + "[\"filing\",\"h.example\",\"/f/\",\"unsafe\",3000,500,1,null,2,\"orders\"],"
                + "[\"stock\",\"h.example\",\"/k/\",\"safe\",1200,400,2,null,2,\"stock\"],"
                + "[\"upload\",\"h.example\",\"/u/\",\"unsafe\",3000,500,1,null,2,\"uploads\"]]},"
                + "\"services\":{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\",\"sharded\"],"
                + "\"rows\":[[\"orders\",\"/health\",130,\"h1\",false,null],[\"uploads\",\"/health\",130,\"h1\",false,null],"
                + "[\"stock\",\"/health\",130,\"h1\",false,true]]},"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
