package io.jacinthquay.router.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OriginQuestionsTest {
  private static final int CAPACITY = 4;

  private final OriginQuestions questions = new OriginQuestions(CAPACITY);

  /** Returns a question of a customer such as a, from a name such as a1. */
  private static OriginQuestion question(String name) {
    return new OriginQuestion(
        Optional.of(new CustomerId(name.substring(0, 1))),
        Optional.empty(),
        List.of(new PoolName("p")),
        Long.parseLong(name.substring(1)),
        origin -> {});
  }

  private static String names(Stream<OriginQuestion> named) {
    return named
        .map(question -> question.customer().orElseThrow().value() + question.askedNanos())
        .collect(Collectors.joining(" "));
  }

  private String add(String names) {
    return Stream.of(names.split(" "))
        .map(name -> names(questions.add(question(name)).stream()))
        .filter(name -> !name.isEmpty())
        .collect(Collectors.joining(" "));
  }

  /** A flood of one customer left no place for the take-ups of the others. */
  @ParameterizedTest
  @CsvSource({
    // added; without a place, asked first
    "a1 a2 a3 a4, , a1 a2 a3",
    "a1 a2 a3 a4 a5 a6, a5 a6, a1 a2 a3",
    "a1 a2 a3 a4 b1, a4, a1 b1 a2",
    "a1 a2 a3 a4 b1 b2 b3, a4 a3 b3, a1 b1 a2",
    "a1 a2 a3 a4 b1 a5 b2 c1 d1 e1, a4 a5 a3 a2 b2 e1, a1 b1 c1"
  })
  void customersShareThePlacesAndTheCalls(String added, String withoutPlace, String first) {
    assertEquals(Optional.ofNullable(withoutPlace).orElse(""), add(added));
    assertEquals(first, names(questions.first(3).stream()));
  }

  /** With more customers than a call takes, each one's question is asked in its turn. */
  @Test
  void callsTakeAllCustomersInTurn() {
    add("a1 b1 c1");
    assertEquals("a1 b1", names(questions.first(2).stream()));
    assertEquals("c1 a1", names(questions.first(2).stream()));
    assertEquals("b1 c1", names(questions.first(2).stream()));
  }

  @Test
  void removesEachQuestionOnceAndNoneIsAddedAfterTheEnd() {
    List<OriginQuestion> added = Stream.of("a1", "a2").map(name -> question(name)).toList();
    added.forEach(questions::add);
    assertEquals(true, questions.remove(added.get(0)));
    assertEquals(false, questions.remove(added.get(0)));
    questions.close();
    assertEquals("a3", add("a3"));
    assertEquals("a2", names(questions.all().stream()));
  }
}
