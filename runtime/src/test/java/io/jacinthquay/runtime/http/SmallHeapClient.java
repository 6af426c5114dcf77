package io.jacinthquay.runtime.http;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A client as a process of its own, for tests with the heap of a deployment.
 *
 * <p>Arguments: the port of the server, the number of calls to it at once, their timeout in
 * milliseconds, and the port of a valid server, which is called while the others are in progress.
 * It prints the result of each call on a line, that of the valid server last.
 */
final class SmallHeapClient {
  /** Begins the lines that are results; others are of the log. */
  static final String RESULT = "result ";

  /** Time for the other calls to be under way, in milliseconds. */
  private static final long HEAD_START_MILLIS = 300;

  private SmallHeapClient() {}

  public static void main(String[] args) throws Exception {
    JsonHttpClient http = new JsonHttpClient("small-heap");
    http.start();
    int count = Integer.parseInt(args[1]);
    Duration timeout = Duration.ofMillis(Long.parseLong(args[2]));
    ExecutorService threads = Executors.newFixedThreadPool(count);
    List<CompletableFuture<String>> results = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      results.add(CompletableFuture.supplyAsync(() -> call(http, args[0], timeout), threads));
    }
    Thread.sleep(HEAD_START_MILLIS);
    String valid = call(http, args[3], timeout);
    for (CompletableFuture<String> result : results) {
      print(result.get());
    }
    print(valid);
    System.exit(0);
  }

  private static void print(String result) {
    System.out.println(RESULT + result);
  }

  private static String call(JsonHttpClient http, String port, Duration timeout) {
    InetSocketAddress server =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(port));
    Either<Failure, HttpResponse> result = http.call(HttpCall.get(server, "/x", timeout));
    return result.fold(failure -> failure.code().name(), response -> "" + response.status());
  }
}
