/** Decides when and where requests run, by means of the decision module. */
package io.jacinthquay.router.service.dispatch;
