/** A fake plain service that records the requests it ran. */
package io.jacinthquay.testkit.plain;
