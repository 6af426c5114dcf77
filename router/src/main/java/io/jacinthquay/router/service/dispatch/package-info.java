/** Chooses when and where requests run, by the pure decisions. */
package io.jacinthquay.router.service.dispatch;
