/** The platform's interface, as far as the system uses it. */
package io.jacinthquay.testkit.platform;
