import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Plain HTTP/1.1 calls with a time limit. */
final class Http {

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(1_000))
                    .build();

    /** An answer; the status is 0 if there was none. */
    record Answer(int status, String body) {}

    private Http() {}

    static Answer call(String method, String address, String path, String body, long millis) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(millis))
                        .header("Content-Type", "application/json")
                        .header("X-Yuccabank-Deadline-Ms", String.valueOf(millis))
                        .method(
                                method,
                                body.isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body));
        try {
            HttpResponse<String> response =
                    CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (java.io.IOException exception) {
            return new Answer(0, exception.toString());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Answer(0, exception.toString());
        }
    }
}
